package fleet

import "github.com/bulrushwick/bulrushwick/coord/member"

// endpointSubjectPrefix is the prefix of the subject of a report on an endpoint. It
// can't collide with an instance name, which has no slash in the platform's lists.
const endpointSubjectPrefix = "endpoint/"

// EndpointLeaving reports whether the endpoint takes no new work, according to the
// platform's list read here or to a peer that has read a newer list.
func (f *Fleet) EndpointLeaving(name string) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.endpointLeaving(name)
}

// endpointLeaving is EndpointLeaving for callers that hold f.mu.
func (f *Fleet) endpointLeaving(name string) bool {
	if f.endpoints[name] == member.Leaving {
		return true
	}
	return f.members.ReportedLeaving(f.Now(), endpointSubjectPrefix+name)
}

// renewEndpointReports renews the reports on the endpoints that the platform lists as
// leaving. Peers pass the reports on with their heartbeats.
func (f *Fleet) renewEndpointReports() {
	for name, state := range f.endpoints {
		if state != member.Leaving {
			continue
		}
		subject := endpointSubjectPrefix + name
		f.members.Receive(f.Now(), member.Report{Subject: subject, Reporter: subject, Leaving: true})
	}
}
