// Package command writes changes to the settings tree: it validates a change
// against the whole tree, writes it to the platform's store by compare-and-swap,
// and distinguishes a lost response from a conflict.
//
// A change carries an ID that its author chose. Each node stores the ID of its
// latest change and of several before it, so that a retry is recognized even
// when others have written since.
//
// A change of several nodes is written node by node, parents first, deletions
// last and children first. If it fails part-way, the result lists the nodes
// written, and the change can be retried with the same ID.
package command
