#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. It needs no network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin3"
go build -o ../../target/review-world3 .
