#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8. The controllers are built by the command of deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
export PATH="$PATH:/usr/local/go/bin"
go build -tags review2 -o target/review2/standin2 ./review/standin2
