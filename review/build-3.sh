#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. The build of the deploy file builds ferry-edge.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-third ./review/third
