#!/usr/bin/env bash
# Builds the stand-ins of the cases, with the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
go build -trimpath -o bin/ ./world
