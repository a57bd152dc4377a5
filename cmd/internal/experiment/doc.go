// Package experiment measures the coordination parts' decisions: it drives
// placement, admission and residency through a clock and a heap with the
// service times of a scenario, beside baselines on the same trace.
//
// Nothing of the network is modelled but a constant latency. Runs are
// deterministic: the same scenario, policy and seed give the same result.
package experiment
