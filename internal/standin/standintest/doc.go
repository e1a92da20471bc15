// Package standintest starts stand-ins in the test process, on free loopback
// ports, and stops them when the test ends.
package standintest
