// Package balance chooses the engine of each request: filter, score, pick.
//
// Table is pure: it counts what this node has under way at each engine, and
// remembers what engines told of their load, what other nodes told of theirs,
// and which engines failed lately. Choose reads the table and a catalog's
// snapshot; it changes nothing. Balancer is the shell: it holds the table
// under a mutex and lets requests wait, by priority, until an engine has room.
package balance
