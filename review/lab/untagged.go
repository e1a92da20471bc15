//go:build !review

package main

import (
	"fmt"
	"os"
)

// main stands in for the program where the build tag is missing, as in CI.
func main() {
	fmt.Fprintln(os.Stderr, "build this with -tags review; see review/build.sh")
	os.Exit(2)
}
