#!/usr/bin/env bash
# Plays the case "pace" of claim.txt and writes record.txt beside it. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 plays it without the disruption. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in target/maststage-router target/review-2/world; do
	if [ ! -x "$program" ]; then
		echo "$program is missing"
		exit 2
	fi
done
exec target/review-2/world -dir review/8 pace
