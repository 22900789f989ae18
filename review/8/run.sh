#!/bin/sh
# Plays the case and writes record.txt beside this script: what was sent, answered and run. Exit 1: the rule was broken;
# 0: it held; 2: the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
command -v python3 > /dev/null || { echo "could not run: python3 is missing" | tee record.txt; exit 2; }
PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
