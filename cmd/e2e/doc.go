// Package e2e tests the real binaries as separate processes over loopback.
package e2e
