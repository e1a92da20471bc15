// Package operator serves the settings tree on a node's operator port, for
// chutelockctl: apply, read, explain, status and recovery.
package operator
