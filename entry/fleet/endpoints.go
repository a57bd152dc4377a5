package fleet

import "github.com/bulrushwick/bulrushwick/coord/member"

// endpointSubject begins the subject of a report on an endpoint; an instance's
// name has no slash in the platform's lists.
const endpointSubject = "endpoint/"

// EndpointLeaving tells whether the endpoint takes no new work, by the platform
// or by a peer that has read a newer list.
func (f *Fleet) EndpointLeaving(name string) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.endpointLeaving(name)
}

func (f *Fleet) endpointLeaving(name string) bool {
	if f.endpoints[name] == member.Leaving {
		return true
	}
	return f.members.ReportedLeaving(f.Now(), endpointSubject+name)
}

// reportEndpoints renews the reports on the endpoints that the platform calls
// leaving, which pass from peer to peer with the heartbeats.
func (f *Fleet) reportEndpoints() {
	for name, state := range f.endpoints {
		if state != member.Leaving {
			continue
		}
		subject := endpointSubject + name
		f.members.Receive(f.Now(), member.Report{Subject: subject, Reporter: subject, Leaving: true})
	}
}
