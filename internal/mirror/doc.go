// Package mirror keeps a copy of some kinds of objects of the platform's store on every
// node: on data nodes, which store ledger replicas, and on front nodes, which serve requests.
// A few data nodes, the watchers, watch the store. All nodes pull changes from peers by long
// polling, and read the store themselves if their data gets stale. So a node that can't reach
// the store still gets what its peers have, and a node that starts while the store is down
// gets the last known state. A pull carries its sender's revisions; a peer that is behind pulls
// back from the sender.
// Table holds a collection for each kind: the objects by name with the store's revision of
// their last change, tombstones of removed objects, and the revision up to which the collection
// is complete. Deltas are merged by revision, so their order and repetition don't matter, and a
// collection never reverts to an older state.
// Agent reads the store, pulls from peers and answers their pulls. It does not interpret
// objects, apart from the Place function of a kind.
package mirror
