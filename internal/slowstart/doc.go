// Package slowstart limits the rate of requests from all nodes together to what a cold engine
// sustains: a front node asks a data node for a permit before each request to it.
//
// Granter is the data node's side of the protocol and Asker the front node's; both do no I/O
// and take messages and the time as arguments. A permit expires PermitTTL after it was asked
// for, so that all requests sent within Span hold permits granted within Span + PermitTTL.
// At most two nodes grant permits for an engine (see Granters), each at most half of its limit.
package slowstart
