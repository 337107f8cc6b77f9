#!/bin/sh
# Builds the stand-ins of the cases into target/review. It needs nothing but the Go toolchain.
set -e
cd "$(dirname "$0")/platform"
mkdir -p ../../target/review
GOWORK=off go build -o ../../target/review/ ./cmd/...
