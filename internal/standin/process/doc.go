// Package process holds what the stand-ins' programs have in common: reading a
// checked settings file, telling their addresses in a ready file, and serving
// until a signal.
package process
