#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without
# the disruption. Wants the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/coralhoist-platform ] && [ -x target/review-2/cases ] || exit 2
exec timeout -k 5 115 target/review-2/cases restart-during-promotion review/5/record.txt
