#!/bin/bash
# Builds the stand-ins that the scripts of review/ start. It runs from any folder, after the build of
# deploy/system.toml, and needs no network beside the modules that this build has fetched.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-lab ./review/lab
