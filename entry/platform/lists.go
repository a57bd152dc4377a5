package platform

import (
	"fmt"
	"net/netip"

	"github.com/bulrushwick/bulrushwick/coord/member"
	"github.com/bulrushwick/bulrushwick/coord/strictjson"
	"github.com/bulrushwick/bulrushwick/entry/fleet"
)

// ParseInstances parses the published list of instances. The list is not under the
// control of this system, so an invalid entry is left out with a finding and the rest
// is used. The list is nil if it can't be parsed at all.
func ParseInstances(data []byte) ([]member.Instance, strictjson.Findings) {
	return parseList(data, func(c *strictjson.Collector, path string, i member.Instance) bool {
		ok := checkNameAndState(c, path, i.Name, i.State)
		if i.DataCentre == "" {
			c.Addf(path+".dataCentre", "is empty")
			ok = false
		}
		return checkAddress(c, path+".peerAddress", i.PeerAddress) && checkAddress(c, path+".controlAddress", i.ControlAddress) && ok
	})
}

// ParseEndpoints parses the published list of endpoint states, with the same treatment
// of invalid entries as ParseInstances.
func ParseEndpoints(data []byte) ([]fleet.EndpointState, strictjson.Findings) {
	return parseList(data, func(c *strictjson.Collector, path string, e fleet.EndpointState) bool {
		return checkNameAndState(c, path, e.Name, e.State)
	})
}

// parseList decodes a list and keeps the entries for which check, which adds findings
// at the given path, returns true.
func parseList[T any](data []byte, check func(c *strictjson.Collector, path string, entry T) bool) ([]T, strictjson.Findings) {
	var list []T
	findings, decoded := strictjson.Decode(data, &list)
	if !decoded {
		return nil, findings
	}
	c := &strictjson.Collector{}
	kept := make([]T, 0, len(list))
	for i, entry := range list {
		if check(c, fmt.Sprintf("[%d]", i), entry) {
			kept = append(kept, entry)
		}
	}
	findings = append(findings, c.Locate(data)...)
	findings.Sort()
	return kept, findings
}

func checkNameAndState(c *strictjson.Collector, path, name string, state member.State) bool {
	ok := true
	if name == "" {
		c.Addf(path+".name", "is empty")
		ok = false
	}
	if state != member.Live && state != member.Leaving {
		states := []string{string(member.Live), string(member.Leaving)}
		c.Addf(path+".state", "%q is not live or leaving%s", state, strictjson.Suggest(string(state), states))
		ok = false
	}
	return ok
}

func checkAddress(c *strictjson.Collector, path, address string) bool {
	if _, err := netip.ParseAddrPort(address); err != nil {
		c.Addf(path, "%q is not an IP address and port", address)
		return false
	}
	return true
}
