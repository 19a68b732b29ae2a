#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. Without the
# disruption: TROUBLE=0. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/drill ] && [ -x target/pistachiod ] || { echo "not built"; exit 2; }
exec target/review-2/drill unsigned review/5/record.txt
