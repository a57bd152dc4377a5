// Package keyscope compares who may own idempotency keys: the instances of a
// data centre, of a region or of all. It drives the records of coord/attempt in
// virtual time through faults, under leases that another instance of the owning
// group grants, and counts the orders that end refused and unknown.
package keyscope
