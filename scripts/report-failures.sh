#!/usr/bin/env bash
# Copies the output of go test from standard input and repeats the failures at the end, since
# the log lines of the nodes bury them.
exec awk '
  function keep() { failures = failures $0 "\n" }
  { print; fflush() }
  /^[IWEF][0-9]+ / { next } # a log line
  /^FAIL\t/ { keep(); test = 0; crash = 0; next }
  /^panic: / || /^fatal error: / { crash = 40 }
  /^ *--- FAIL: / { test = 80 }
  crash > 0 { keep(); crash--; next }
  test > 0 && /^ *--- FAIL: / { keep(); next }
  test > 0 && /^[ \t]/ { keep(); test--; next }
  { test = 0 }
  END { if (failures) printf "\nFailures:\n%s", failures }
'
