package fleet

import "github.com/bulrushwick/bulrushwick/coord/member"

// InstanceView is the state of a published instance, as known here.
type InstanceView struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	// Leaving reports that the instance takes no new work.
	Leaving bool `json:"leaving"`
	// Silent reports that it has stopped sending heartbeats.
	Silent bool `json:"silent"`
	// Neighbour reports that it exchanges every heartbeat with this instance.
	Neighbour bool `json:"neighbour"`
	// Workers is the number of endpoints that it owns.
	Workers int `json:"workers"`
}

// View is the state of the fleet, as known here.
type View struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"dataCentre"`
	Ready      bool   `json:"ready"`
	Leaving    bool   `json:"leaving"`
	// Revision and Digest identify the table in force; 0 and empty before the first.
	Revision  uint64         `json:"revision"`
	Digest    string         `json:"digest"`
	Instances []InstanceView `json:"instances"`
}

// View returns the current state.
func (f *Fleet) View() View {
	ready := f.Ready()
	f.mu.RLock()
	defer f.mu.RUnlock()
	v := View{Instance: f.self, DataCentre: f.dataCentre, Ready: ready, Leaving: f.leaving}
	if t := f.register.Current(); t != nil {
		v.Revision, v.Digest = t.Revision, t.Digest()
	}
	workers := make(map[string]int)
	for _, owner := range f.owners {
		workers[owner.Name]++
	}
	usable := make(map[string]bool, len(f.usable))
	for _, instance := range f.usable {
		usable[instance.Name] = true
	}
	neighbours := make(map[string]bool)
	if f.topology != nil {
		neighbours = f.topology.Neighbours()
	}
	published := f.members.Others()
	if self, found := f.members.Instance(f.self); found {
		published = append([]member.Instance{self}, published...)
	}
	for _, instance := range published {
		silent := f.members.Silent(f.Now(), instance.Name)
		v.Instances = append(v.Instances, InstanceView{
			Name:       instance.Name,
			DataCentre: instance.DataCentre,
			Leaving:    !usable[instance.Name] && !silent,
			Silent:     silent,
			Neighbour:  neighbours[instance.Name],
			Workers:    workers[instance.Name],
		})
	}
	return v
}
