// Package experiment compares batch admission policies in the simulator: it runs
// every policy of an experiment file on the same traffic for a number of seeds
// and estimates means and paired differences with confidence intervals.
//
// Harm is a quantile of an online latency divided by the same quantile without
// batch work. Harvest is the batch tokens divided by sim.FluidBound.
package experiment
