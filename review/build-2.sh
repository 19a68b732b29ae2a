#!/bin/sh
# Builds the stand-ins of the scripts of the second review into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
cd review/standin-2
GOWORK=off CGO_ENABLED=0 go build -o ../../target/review-2/drill .
