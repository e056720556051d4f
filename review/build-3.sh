#!/bin/bash
# Builds the stand-ins that the scripts of review/11 to review/15 start.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./review/standin3
