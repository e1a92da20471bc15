// Package standintest starts stand-ins inside a test's own process, on free
// ports of the loopback, and stops them when the test ends.
package standintest
