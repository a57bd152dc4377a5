// Package cost learns what requests cost at workers from what an instance observes of
// its own requests: how long each worker takes for prompts, steps and loads relative to
// the other workers of its service, how long responses are, and which parts of prompts
// a worker has processed before.
//
// A worker's learned factor counts only where it differs from 1 by more than its own
// uncertainty, which grows while nothing is observed. A worker that is avoided because
// of its factor is therefore tried again.
package cost
