#!/bin/sh
# Builds the stand-ins and the cases of review/ into target/review/.
set -e
cd "$(dirname "$0")/harness"
GOWORK="$PWD/go.work" GOFLAGS= go build -o ../../target/review/ ./cmd/...
