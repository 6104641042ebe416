#!/usr/bin/env bash
# Plays this case against target/fleetd; see claim.txt. TROUBLE=0 leaves the disruption out.
# Exit status: 0, the rule held; 1, it was broken; 2, the case could not run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/fleetd target/review/standin-2; do
	[ -x "$program" ] || { echo "$program is missing: run the build of deploy/system.toml and review/build-2.sh" >&2; exit 2; }
done
exec target/review/standin-2 later target/fleetd review/5
