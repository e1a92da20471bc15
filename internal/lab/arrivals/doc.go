// Package arrivals generates the traffic of experiments and load runs from a
// seed: online requests as a Poisson process with bursts, prompts in families
// that share a prefix, and batch items in heaps.
//
// The same configuration and seed give the same traffic, in virtual time
// (package sim) and against real processes (package load).
package arrivals
