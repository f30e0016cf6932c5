#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into bin/review-2. They use the standard library alone.
set -e
cd "$(dirname "$0")/standin-2"
mkdir -p ../../bin/review-2
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../../bin/review-2/ ./...
