// Package soak injects random faults into a deployment of the real program and
// checks what callers and workers observe. The instances run as separate processes
// between stand-ins of the users' platform.
//
// The seed of a run determines which faults are injected and when. The run is
// otherwise not reproducible, since processes and scheduling differ.
package soak
