package placement

// NotLeaving drops workers that take no new requests.
type NotLeaving struct{}

// Keep implements Filter.
func (NotLeaving) Keep(_ Query, c Candidate) bool { return !c.Leaving }

// SameRegion drops workers in other regions.
type SameRegion struct{}

// Keep implements Filter.
func (SameRegion) Keep(q Query, c Candidate) bool { return q.InRegion(c) }

// Holder drops workers that do not have the adapter.
type Holder struct{}

// Keep implements Filter.
func (Holder) Keep(_ Query, c Candidate) bool { return c.Resident }

// NotOverloaded drops workers whose load reaches Config.Overload for the query's
// rank.
type NotOverloaded struct{ Config Config }

// Keep implements Filter.
func (f NotOverloaded) Keep(q Query, c Candidate) bool {
	return float64(c.Load) < f.Config.Overload[q.Rank]*float64(max(q.Batch, 1))
}

// LinkOpen drops workers in other regions when the budget of the link between the
// regions is used up.
type LinkOpen struct{}

// Keep implements Filter.
func (LinkOpen) Keep(q Query, c Candidate) bool { return q.LinkOpen || q.InRegion(c) }
