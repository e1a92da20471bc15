// Package truth is what proofs are judged by: the output that a prompt must
// give (ExpectedText), and the log of what the stand-ins really ran and when,
// with a reader and checks.
package truth
