package main

import (
	"chutelock.dev/chutelock/internal/lab/load"
	"chutelock.dev/chutelock/internal/standin/truth"
)

// expectedText returns the text that stand-in engines generate for a prompt.
var expectedText load.ExpectedText = truth.ExpectedText
