// Package truth defines the expected results of tests: the output of a model for
// a prompt (ExpectedText), and the truth log, in which the stand-ins record what
// they ran and when, with a reader and checks.
package truth
