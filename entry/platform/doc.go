// Package platform reads the platform's configuration service with blocking
// queries. It never writes.
package platform
