#!/usr/bin/env bash
# Removes a target's entry between two short outages of the store, and looks for requests that still reach the target.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-harness ] || { echo "run review/build.sh first"; exit 2; }
TROUBLE="${TROUBLE:-1}" exec target/review-harness gone-kept review/1
