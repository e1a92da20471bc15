// Package platform is the stand-in of the platform's services: the object API
// in the Kubernetes API conventions, leases, the lagging machine list and the
// rate-limited weight store. It bears few readers by design: watches and
// requests beyond a budget are refused with 429.
// docs/operating/stand-ins.md describes the protocol.
package platform
