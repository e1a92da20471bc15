// Package sim emulates a whole deployment in virtual time: clients, nodes
// with their gateway and home roles, the network, lagging load reports and
// engines (internal/standin/engine/scheduler). The decisions come from the
// node's own code, internal/admission/batch and (where a policy asks for it)
// internal/routing; the rest is a model of the node's shells.
//
// A run is a pure function of its Config and seed. Simplifications, all in
// favour of the comparison being about batch admission: a node's own work
// takes no time, leases of batch items are prefetched (an admitted item costs
// no call to the ledger), and a gateway does not queue.
package sim
