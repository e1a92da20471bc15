// Package enginespeed estimates how fast engines are, for nodes that choose between engines of
// different speeds.
//
// An engine's duration factor is the product of two estimates. Its relative pace is its usual
// time between events relative to the other engines of its service, learned from runs. Its
// slowness is how much longer than usual work takes at this moment, as the engine itself
// reports; a report counts less with its age, and an engine without a recent one counts as
// usual.
//
// A node shares what it observed by Updates, which peers apply. All nodes estimate from the
// same observations, so a restarted node learns within the time of a few runs.
//
// Estimates has no I/O, clock or lock: observations and their times are passed in.
package enginespeed
