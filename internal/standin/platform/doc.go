// Package platform simulates the platform's services: an object API that follows
// the Kubernetes API conventions, leases, a delayed machine list and a
// rate-limited weight store. Watches and requests beyond a limit are refused
// with 429, as by a platform that supports few readers.
// docs/operating/stand-ins.md describes the protocol.
package platform
