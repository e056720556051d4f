#!/bin/bash
# Builds the stand-ins that the scripts of the review start. The build of the deploy file comes first.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/...
