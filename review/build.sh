#!/bin/bash
# Checks that every stand-in of the cases can be used: they are Python programs, which need no build, and the router is
# the one that the deploy file's build leaves in target/release.
set -euo pipefail
cd "$(dirname "$0")"
[ -x ../target/release/sanddrum-edge ] || { echo "build the programs first: cargo build --release"; exit 1; }
for program in *.py */*.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$program"
done
echo "stand-ins are in order"
