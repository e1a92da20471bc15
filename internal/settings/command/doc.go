// Package command writes the settings tree: it checks a change against the
// whole tree, writes it to the platform's store by compare-and-swap, and tells
// a lost answer from a lost race.
//
// A change carries an id that its author chose. The id is stored with each
// node that the change writes, together with the ids of the writes before, so
// that a repeated change finds out that it has been made already, even when
// others have written since.
//
// A change of several nodes is written node by node, parents first, deletions
// last and children first. When it stops half way, the answer says which nodes
// are written, and the same change may be repeated with the same id.
package command
