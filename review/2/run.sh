#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With
# TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lavendercourse ] && [ -x target/rig ] || exit 2
exec target/rig silent review/2/record.txt
