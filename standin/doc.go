// Package standin holds small stand-ins for the outside systems that an entry
// instance meets: the platform's configuration service, model engines, the
// weight store and plain services. Each speaks the published protocol and takes
// its faults by an HTTP switch.
package standin
