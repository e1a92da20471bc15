// Package arrivals generates the traffic of experiments and load tests from a
// seed: online requests as a Poisson process with bursts, batch jobs, and
// prompts in families that share a prefix.
//
// The same configuration and seed give the same traffic, in virtual time
// (package sim) and against real processes (package load).
package arrivals
