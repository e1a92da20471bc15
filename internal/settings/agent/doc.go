// Package agent runs the dissemination of settings at one node: it carries the
// pure machine's messages over the transport, reads the platform's store when
// the machine says so, keeps the disk cache, and gives the snapshot in force.
package agent
