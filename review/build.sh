#!/bin/sh
# Builds what the scripts of the cases start. The stand-ins are Python modules
# of this repository, which use the libraries in target/deps, so it is enough to
# compile them and to show that they can be imported.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1 python3 -c '
import review.lib.stage
import bronzehold.platform.__main__
'
echo "review: stand-ins are ready"
