// Package sim is a discrete-event simulation of a deployment: clients, nodes,
// the network, delayed load reports and inference engines
// (internal/standin/engine/scheduler). A node has two roles: a gateway for
// online requests, and a home that admits batch work to some of the engines.
//
// Nodes decide with production code: internal/admission/batch and, for
// RoutingNode, internal/routing. Everything else is a model.
//
// A run is deterministic for its Config, Policy, Recording and seed. To isolate
// the effect of batch admission, nodes compute in zero time, leases of batch
// items are acquired in zero time, and gateways do not queue.
package sim
