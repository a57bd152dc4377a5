package table

// Register is a max register of accepted tables. Its revision never falls.
//
// The zero value holds no table. It is not safe for concurrent use.
type Register struct {
	current *Table
}

// Current returns the table in force, or nil before the first is accepted.
func (r *Register) Current() *Table { return r.current }

// Revision returns the revision in force, or 0 before the first.
func (r *Register) Revision() uint64 {
	if r.current == nil {
		return 0
	}
	return r.current.Revision
}

// Offer installs t when its revision is above the one in force and tells
// whether it did.
func (r *Register) Offer(t *Table) bool {
	if t.Revision <= r.Revision() {
		return false
	}
	r.current = t
	return true
}
