// Package balance chooses an engine for each request by filtering, scoring and picking.
//
// Table holds the load state: requests of this node in flight at each engine, load reported
// by engines and peers, and ejected engines. It has no locks and takes the time as an
// argument. Choose selects an engine from the table and a catalog snapshot. Balancer guards a
// table with a mutex and lets requests wait, by priority, until an engine has room.
package balance
