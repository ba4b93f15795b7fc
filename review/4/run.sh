#!/bin/sh
# Plays the case advice; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review/standin ] || exit 2
exec ../../target/review/standin advice
