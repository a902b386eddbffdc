#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start. It needs no network and no libraries.
set -euo pipefail
cd "$(dirname "$0")/world-3"
mkdir -p ../../target/review-3
GOWORK=off go build -trimpath -o ../../target/review-3/world3 .
