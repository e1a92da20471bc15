// Package gateway answers callers' online requests in the form of OpenAI's
// HTTP API: it authenticates and checks a request, asks for admission, lets
// routing choose engines and relays their answer.
//
// The way of a request is: Gateway (HTTP, checks) → admission/online (limits,
// queue) → exchange (attempts at engines, as relay.Call decides) → routing and
// engine.Client. What is decided is decided in the pure packages relay,
// routing and admission/online; this package is their shell.
//
// Lock order: exchange.mutex, then placement.mutex; the admission gate's lock
// is taken with neither held, and before placement.mutex.
package gateway
