#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. It needs no network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
go build -C standin3 -o ../../target/review-world3 .
go build -C standin4 -o ../../target/review-standin4 .
