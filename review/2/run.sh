#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/standin ] && [ -x ../../bin/frostpier ] || { echo "not built: the build command of deploy/balancer.toml, then review/build.sh"; exit 2; }
timeout 110 ../bin/standin memory ../.. .
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
