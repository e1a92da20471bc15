// Package experiment compares policies of batch admission: it reads an
// experiment file, runs every policy on the same traffic for a number of
// seeds in the emulator, and computes the measures with their paired
// differences and confidence intervals.
package experiment
