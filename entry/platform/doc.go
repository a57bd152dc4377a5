// Package platform is the client of the platform's configuration service, which it
// reads with blocking queries. It never writes.
package platform
