// Package routes is a discrete-event simulation of the choice of a worker by many
// instances. Workers differ in speed, permanently and from moment to moment, and
// requests in size. It runs the code of coord/balance, coord/condition and coord/cost
// under a virtual clock, beside baseline policies on the same trace.
//
// Runs are deterministic: the same scenario, policy and seed give the same result.
package routes
