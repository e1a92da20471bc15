#!/usr/bin/env bash
# Installs what building, testing and model checking need and is not there yet.
set -euo pipefail
cd "$(dirname "$0")/.."
need=()
command -v spin >/dev/null || need+=(spin)
command -v gcc >/dev/null || need+=(gcc libc6-dev)
command -v curl >/dev/null || need+=(curl)
if [ ${#need[@]} -gt 0 ]; then
  # Another one may be installing at this moment: it is waited for, and not an error.
  wait_for_lock=(-o DPkg::Lock::Timeout=300)
  apt-get "${wait_for_lock[@]}" update -qq && apt-get "${wait_for_lock[@]}" install -y -qq "${need[@]}" >/dev/null
fi
go mod download
