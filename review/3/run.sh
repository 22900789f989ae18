#!/bin/bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out. Exit: 1 rule broken, 0 held, 2 could not run.
cd "$(dirname "$0")" || exit 2
command -v python3 > /dev/null || exit 2
[ -x ../../target/release/sanddrum-edge ] || exit 2
exec python3 -B case.py
