#!/usr/bin/env bash
# Installs missing dependencies for building, testing and model checking.
set -euo pipefail
cd "$(dirname "$0")/.."
need=()
command -v spin >/dev/null || need+=(spin)
command -v gcc >/dev/null || need+=(gcc libc6-dev)
command -v curl >/dev/null || need+=(curl)
if [ ${#need[@]} -gt 0 ]; then
  # Wait for a concurrent installation to release the package manager's lock.
  wait_for_lock=(-o DPkg::Lock::Timeout=300)
  apt-get "${wait_for_lock[@]}" update -qq && apt-get "${wait_for_lock[@]}" install -y -qq "${need[@]}" >/dev/null
fi
go mod download
