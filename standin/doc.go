// Package standin has stand-ins of the external systems that an entry instance
// uses: the platform's configuration service, model engines, the weight store and
// plain services. Each implements the published protocol, and its faults can be
// switched over HTTP. All types are safe for concurrent use.
package standin
