// Package condition holds what an instance has observed of one worker process from
// the responses to its own requests: failures, load, and requests to stay away for a
// while. All of it is lost when the process restarts.
package condition

// Condition is what an instance has observed of one worker process. The zero value
// is ready for use. It is not safe for concurrent use.
type Condition struct {
	Health  Health
	Load    Load
	HoldOff HoldOff
}
