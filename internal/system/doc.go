// Package system assembles a node for a platform whose store holds the
// configuration and the engines as objects: a front node serves callers, a
// data node keeps replicas of the ledger and runs batch items. It only wires;
// the platform's own names and formats come in as an Adapter.
package system
