#!/usr/bin/env bash
# Copies the output of go test from standard input and repeats the failures at the end, since
# the log lines of the nodes bury them. Of a long output of a test the first and the last lines
# are repeated: the last ones tell which check failed.
exec awk '
  function keep(line) { failures = failures line "\n" }
  function keep_output(  i) {
    if (lines > tail) keep("        [" lines - tail " lines left out]")
    for (i = lines > tail ? lines - tail : 0; i < lines; i++) keep(last[i % tail])
    lines = 0
  }
  BEGIN { head = 20; tail = 120 }
  { print; fflush() }
  /^[IWEF][0-9]+ / { next } # a log line
  /^ *--- FAIL: / { keep_output(); keep($0); in_test = 1; first = 0; next }
  in_test && /^[ \t]/ {
    if (first < head) { keep($0); first++ } else last[lines++ % tail] = $0
    next
  }
  { keep_output(); in_test = 0 }
  /^FAIL\t/ { keep($0); crash = 0; next }
  /^panic: / || /^fatal error: / { crash = 40 }
  crash > 0 { keep($0); crash-- }
  END { keep_output(); if (failures) printf "\nFailures:\n%s", failures }
'
