#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/third review/third/platform/*.go
