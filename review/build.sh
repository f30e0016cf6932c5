#!/bin/bash
# Builds the cases' stand-ins and checks into review/bin. They need nothing but Go.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../bin
CGO_ENABLED=0 GOFLAGS= GOPROXY=off GOTOOLCHAIN=local go build -o ../bin/ ./case*
