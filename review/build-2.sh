#!/bin/sh
# Builds every stand-in and driver that the scripts of the second review start.
set -e
cd "$(dirname "$0")/second"
mkdir -p ../../target/review-2
GOWORK="$PWD/go.work" go build -o ../../target/review-2/ ./cmd/...
