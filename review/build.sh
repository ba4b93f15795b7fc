#!/bin/sh
# Builds the stand-ins of the scripts.
set -e
cd "$(dirname "$0")/standin"
mkdir -p ../../target/review
go build -o ../../target/review/standin .
