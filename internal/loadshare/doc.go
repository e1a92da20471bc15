// Package loadshare distributes the load of engines among nodes.
//
// A front node reports its requests in flight to one data node, which answers with the
// load of all nodes. In a small fleet that data node is the leader of batch work, in a
// larger one a relay, a data node of the front node's zone. Data nodes that take reports
// send the sums, as shares, to each other and to the leader. The datagrams of a node
// thus grow with its zone, and those between zones with the square of the number of
// zones, not with the number of front nodes; and load is known without a leader, too.
//
// ReceiverPicker and Exchange are free of I/O and clocks: messages and times are passed in,
// decisions returned. See docs/design/013-load-by-zone.md.
package loadshare
