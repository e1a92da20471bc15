package main

import "chutelock.dev/chutelock/internal/lab/load"

// expectedText is how stand-in engines answer; nil until they are linked in.
var expectedText load.ExpectedText
