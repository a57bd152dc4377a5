package direct

import "github.com/bulrushwick/bulrushwick/coord/routing"

// authenticate sets the organisation of a request, and drops what the caller says of
// itself. It returns false if the route needs a key and the caller sent none that is
// known. It changes nothing where requests need no key.
func authenticate(table *routing.Table, route *routing.Route, r *Request) bool {
	if !table.RequiresKeys() {
		return true
	}
	r.IdentityHeader = nil
	if r.Credential.Present && !r.Credential.Malformed {
		r.Organisation = table.Authenticate(r.Credential.Digest)
	}
	return route.Public || r.Organisation != nil
}
