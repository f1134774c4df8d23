#!/bin/sh
# Builds the stand-ins that the scripts of the cases start, from the repository's root.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review/harness ./review/harness
