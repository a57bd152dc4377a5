// Package e2e runs the two binaries as separate processes on loopback addresses
// and tests them from outside. It also compares the documentation pages with the
// programs: commands, links, settings and example code.
package e2e
