// Package gateway serves online requests with OpenAI's HTTP API: it authenticates
// and validates a request, passes it through admission control and relays the
// response of an engine chosen by routing.
//
// A request passes through Gateway (HTTP, validation), admission/online (limits,
// queue), exchange (attempts at engines, controlled by relay.Call), and routing and
// engine.Client. The packages relay, routing and admission/online make the
// decisions without I/O; this package performs the I/O and the locking.
//
// Lock order: exchange.mutex before placement.mutex. The lock of the admission gate
// is acquired with neither held, and before placement.mutex.
package gateway
