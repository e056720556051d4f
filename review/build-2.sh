#!/bin/bash
# Builds the stand-ins of this review's scripts.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review2/ ./review/standin2
