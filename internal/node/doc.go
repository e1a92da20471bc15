// Package node wires a node from its components, starts them, and stops them
// in an order that interrupts no request.
package node
