#!/usr/bin/env bash
# Builds the stand-in of the second review's scripts. The programs themselves come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/standin ./review/standin-2
