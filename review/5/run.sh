#!/usr/bin/env bash
cd "$(dirname "$0")" && exec bash ../play.sh "$PWD" silent-store
