package platform

import (
	"net/netip"

	"github.com/bulrushwick/bulrushwick/coord/member"
	"github.com/bulrushwick/bulrushwick/coord/strictjson"
	"github.com/bulrushwick/bulrushwick/entry/fleet"
)

// ParseInstances parses the published list of instances. The list is not under the
// control of this system, so an invalid entry is left out with a finding and the rest
// is used. The list is nil if it can't be parsed at all.
func ParseInstances(data []byte) ([]member.Instance, strictjson.Findings) {
	return strictjson.DecodeList(data, func(c *strictjson.Collector, i member.Instance) bool {
		ok := checkNameAndState(c, i.Name, i.State)
		if i.DataCentre == "" {
			c.Addf("dataCentre", "is empty")
			ok = false
		}
		return checkAddress(c, "peerAddress", i.PeerAddress) && checkAddress(c, "controlAddress", i.ControlAddress) && ok
	})
}

// ParseEndpoints parses the published list of endpoint states, with the same treatment
// of invalid entries as ParseInstances.
func ParseEndpoints(data []byte) ([]fleet.EndpointState, strictjson.Findings) {
	return strictjson.DecodeList(data, func(c *strictjson.Collector, e fleet.EndpointState) bool {
		return checkNameAndState(c, e.Name, e.State)
	})
}

func checkNameAndState(c *strictjson.Collector, name string, state member.State) bool {
	ok := true
	if name == "" {
		c.Addf("name", "is empty")
		ok = false
	}
	if state != member.Live && state != member.Leaving {
		states := []string{string(member.Live), string(member.Leaving)}
		c.Addf("state", "%q is not live or leaving%s", state, strictjson.Suggest(string(state), states))
		ok = false
	}
	return ok
}

// checkAddress checks that an address can be connected to.
func checkAddress(c *strictjson.Collector, path, address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		c.Addf(path, "%q is not an IP address and port", address)
		return false
	}
	return true
}
