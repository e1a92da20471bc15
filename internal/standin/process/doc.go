// Package process holds the common parts of the stand-in programs: loading and
// validating the settings file, writing the listen addresses to a ready file,
// and serving HTTP.
package process
