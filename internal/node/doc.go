// Package node assembles a node from its parts, runs them, and stops them in
// the order that cuts no request. It wires only; decisions are in the parts.
package node
