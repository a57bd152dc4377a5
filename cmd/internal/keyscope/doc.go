// Package keyscope compares ownership scopes for idempotency keys: a key is
// owned by an instance of one data centre, of one region or of the whole fleet.
//
// It simulates the fleet in virtual time with the key records of coord/attempt,
// injects faults and counts the orders that end refused (not run) or with an
// unknown outcome. An order is a keyed call that its caller retries. Each shard
// of a group's keys is owned under a lease that another instance of the group
// grants.
package keyscope
