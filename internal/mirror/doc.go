// Package mirror keeps a copy of some kinds of objects of the platform's store
// on every node. A node reads the store itself and also asks its peers, so
// that a node which the store refuses still learns what others know, and so
// that a node which starts while the store is down learns what was last known.
// A request to a peer says how far its sender is, and a peer that is behind asks
// back.
//
// The pure part (Table) holds one collection a kind: objects by name with the
// store's revision of their last change, the names that were removed, and the
// revision up to which the collection is complete. Deltas between tables are
// merged by revision, so the order and number of merges don't matter, and a
// collection never goes back to an older state.
//
// The shell (Agent) watches the store, answers peers and asks them. It does
// not look into the objects; their meaning belongs to the adapter of the store.
package mirror
