#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Build first: the line "build" of deploy/system.toml, then review/build-3.sh.
set -u
cd "$(dirname "$0")/../.."
[ -x target/teaselseamd ] && [ -x target/review-3/standins-3 ] || exit 2
exec target/review-3/standins-3 late-move review/11
