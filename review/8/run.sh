#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
