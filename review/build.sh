#!/bin/sh
# Builds the drivers and stand-ins of the cases into target/review/.
set -e
cd "$(dirname "$0")"
mkdir -p ../target/review
GOWORK="$PWD/go.work" go build -o ../target/review/ ./cmd/...
