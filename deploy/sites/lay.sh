#!/bin/bash
# Copies the files that the bench expects next to a site file. They belong to the operators' kit and are not committed.
set -euo pipefail
cd "$(dirname "$0")"
cp ../../../given/kit/more/node/sites/{real.json,wire.json,unlock.txt} .
chmod u+w real.json wire.json unlock.txt
