// Package operator serves the settings tree on a node's operator port, for
// chutelockctl: changes, reading, explaining, and what is in force where.
package operator
