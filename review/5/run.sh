#!/usr/bin/env bash
# Plays the case. With TROUBLE=0 it does the same without the disruption, and must pass.
cd "$(dirname "$0")" && exec bash ../play.sh "$PWD" silent-store "${TROUBLE:-1}"
