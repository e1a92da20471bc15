// Package callerconn accepts callers' connections for an http.Server: it bounds how many are open, ends
// those that have no request on them, and logs those that end without a response.
package callerconn
