#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15, after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/standin-3
