// Package slowstart keeps all nodes together below what a cold engine sustains: a front
// node asks a data node for a permit for each request to it.
//
// Granter and Asker are the two ends; both are pure (messages and time in, messages
// out). A permit is granted after it was asked for and is void Life after that, so that
// all requests sent within Span hold permits granted within Span and Life. At most two
// nodes grant for an engine (Granters), each no more than half of what is allowed.
package slowstart
