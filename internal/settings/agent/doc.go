// Package agent runs the dissemination of settings at one node: it executes
// the actions of the deterministic state machine (messages to peers, store
// reads, disk cache writes) and publishes the snapshot in force.
package agent
