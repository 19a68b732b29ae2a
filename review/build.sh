#!/usr/bin/env bash
# Builds the stand-ins of the review, from the standard library only.
set -eu
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../bin/standin .
