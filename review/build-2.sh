#!/usr/bin/env bash
# Builds the programs of the scripts of the second review, stand-ins included, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/second/...
