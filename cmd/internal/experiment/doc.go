// Package experiment is a discrete-event simulation that measures the decisions
// of placement, admission and residency. It runs their code under a virtual
// clock, with the service times of a scenario, and runs baseline policies on the
// same trace for comparison.
//
// The network is modelled by constant latencies only. Runs are deterministic:
// the same scenario, policy and seed give the same result.
package experiment
