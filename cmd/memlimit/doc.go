// Package memlimit tests the memory of the program under callers that exceed its
// limits. Each test runs one instance as a process of its own, and needs the machine to
// itself: the tests have the build tag isolated and run one at a time.
package memlimit
