#!/bin/bash
# Lays what the bench wants beside a site file: the kit's own files, which stay out of the repository.
set -euo pipefail
cd "$(dirname "$0")"
cp ../../../given/kit/more/node/sites/{real.json,wire.json,unlock.txt} .
chmod u+w real.json wire.json unlock.txt
