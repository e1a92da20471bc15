// Package system assembles nodes from the other packages: front nodes, which serve
// callers, and data nodes, which store replicas of the ledger and run batch items.
// The platform's store has the configuration and the engines as objects; an Adapter
// defines their names and formats.
package system
