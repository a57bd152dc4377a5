// Package lease acquires and renews this instance's rights. A right is the
// exclusive, leased permission to send orders to a worker or to run the keys of
// a shard.
//
// The rules are those of coord/ownership. This package passes time, the
// platform's list and the peers' messages to the state machine, sends its
// messages, and tells the handlers of the rights what was acquired, lost or is
// to be handed over.
package lease
