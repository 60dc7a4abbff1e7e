#!/usr/bin/env bash
# Shows case 4: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/cases-2 ] || exit 2
exec target/review-2/cases-2 wall-restart review/4/record.txt
