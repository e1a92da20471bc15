package main

import (
	"chutelock.dev/chutelock/internal/lab/load"
	"chutelock.dev/chutelock/internal/standin/truth"
)

// expectedText is how stand-in engines answer.
var expectedText load.ExpectedText = truth.ExpectedText
