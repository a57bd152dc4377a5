// Package soak plays faults on instances of the real program, as processes of
// their own between stand-ins of the users' platform, and checks what callers
// and workers see.
//
// A run follows from its seed as far as processes and the machine's scheduling
// let it: the same faults strike at the same times.
package soak
