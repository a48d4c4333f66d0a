#!/bin/sh
# Builds the stand-ins and callers of the cases.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-cases ./review
