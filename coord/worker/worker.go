// Package worker keeps what an instance believes of the workers of all
// services: which exist, which leave, and what they hold.
package worker

import "time"

// ModelState is a model that a worker holds.
type ModelState struct {
	Name    string
	Version int64
	// Adapters are the names of the adapters that the worker holds, as NAME@VERSION.
	Adapters []string
}

// Worker is what a worker says of itself.
type Worker struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Slots is the number of requests that run at once.
	Slots int
	// Draining workers finish what they have and take nothing new.
	Draining bool
	// Born is the worker's start, in Unix milliseconds; 0 where it isn't told.
	// A changed value is a new process that knows nothing of before.
	Born   int64
	Models []ModelState
}

// HasModel tells whether the worker holds a model's weights.
func (w *Worker) HasModel(name string) bool {
	for _, m := range w.Models {
		if m.Name == name {
			return true
		}
	}
	return false
}

// ReturnGrace is how long entries that are missing after the store was away
// still count, since workers renew them on its return. Source: the operators'
// bound of about two seconds.
const ReturnGrace = 2 * time.Second

// sameStructure tells whether two entries differ in no more than adapters.
func (w *Worker) sameStructure(other Worker) bool {
	same := w.Service == other.Service && w.Address == other.Address && w.DataCentre == other.DataCentre &&
		w.Slots == other.Slots && w.Draining == other.Draining && w.Born == other.Born && len(w.Models) == len(other.Models)
	for i := range w.Models {
		same = same && w.Models[i].Name == other.Models[i].Name
	}
	return same
}
