// Package hollow runs many nodes' control planes in one process, to measure
// what control costs a node as the fleet grows. Each hollow node has its own
// transport on real loopback sockets, its own membership agent and its own
// fleet tracker, the same code as a real node's. Engines, the platform's store
// and callers' requests are made up in memory; a gateway, a ledger and settings
// are not part of a hollow node.
package hollow
