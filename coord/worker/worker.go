// Package worker keeps the registry of the workers of all services: which exist,
// which are draining, and which models and adapters they hold.
package worker

// ModelState is a model that a worker holds.
type ModelState struct {
	Name    string
	Version int64
	// Adapters are the names of the adapters that the worker holds, as NAME@VERSION.
	Adapters []string
}

// Worker is the entry that a worker publishes about itself.
type Worker struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Slots is the number of requests that the worker runs at once.
	Slots int
	// Draining workers finish their requests and take no new ones.
	Draining bool
	// Leaving is set once the worker process itself has said in a response that it
	// leaves. It is Draining then, whatever its entry says.
	Leaving bool
	// Born is the start time of the worker's process in Unix milliseconds, or 0 if
	// unknown. A changed value means a new process without the state of the old one.
	Born   int64
	Models []ModelState
}

// HasModel reports whether the worker holds a model's weights.
func (w *Worker) HasModel(name string) bool {
	for _, m := range w.Models {
		if m.Name == name {
			return true
		}
	}
	return false
}

// hasSameStructure reports whether two entries differ in nothing but adapters and
// versions of models.
func (w *Worker) hasSameStructure(other Worker) bool {
	same := w.Service == other.Service && w.Address == other.Address && w.DataCentre == other.DataCentre &&
		w.Slots == other.Slots && w.Draining == other.Draining && w.Leaving == other.Leaving && w.Born == other.Born && len(w.Models) == len(other.Models)
	for i := range w.Models {
		same = same && w.Models[i].Name == other.Models[i].Name
	}
	return same
}
