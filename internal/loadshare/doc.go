// Package loadshare spreads what nodes have under way at engines.
//
// A front node reports its own requests to one data node, and gets back what
// all nodes have. In a small fleet that is the leader of batch work; in a larger
// one it is a relay: a data node of the front node's zone. Data nodes that take
// reports send each other, and the leader, the sum of those: a share. So the
// datagrams of a node grow with its zone, and those between zones with the
// square of the zones, but not with the front nodes; and front nodes know of each
// other's requests also while there is no leader.
//
// Choice and Exchange are pure: messages and time in, decisions out. See
// docs/design/013-load-by-zone.md.
package loadshare
