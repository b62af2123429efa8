#!/bin/sh
# Builds what the scripts of review/11 to review/15 start beside the proxies.
# The stand-ins are the project's own, in Python: they need the libraries in
# target/deps, which the build of the deploy file installs, and are compiled to
# byte code here. Exit 0: a script can start them.
cd "$(dirname "$0")/.." || exit 1
export PYTHONPATH=target/deps:.:review
python3 -m compileall -q bronzehold/platform bronzehold/core \
  bronzehold/standin review/harness_3.py || exit 1
exec python3 -c 'import harness_3'
