#!/usr/bin/env bash
# Plays a case: play.sh FOLDER SCENARIO TROUBLE, without the disruption if TROUBLE is 0. Exits with 1 if the rule was broken, 0 if it held, and 2
# if the case couldn't run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
[ -x "$here/bin/world" ] && [ -x "$here/../target/trefoilpath" ] || { echo "not built"; exit 2; }
trouble=true
[ "$3" != 0 ] || trouble=false
timeout -k 3 116 "$here/bin/world" --scenario "$2" --trouble="$trouble" --gateway "$here/../target/trefoilpath" --record "$1/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
