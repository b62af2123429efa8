#!/bin/sh
# Builds the stand-ins of the scripts review/6 to review/10. They are Python
# without dependencies beyond the project's own, so they are only compiled here;
# nothing is written beside the sources.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 exec python3 - <<'PY'
import pathlib
import sys

sys.path[:0] = ["review"]
for folder in ("lib2", "6", "7", "8", "9", "10"):
    for path in sorted((pathlib.Path("review") / folder).glob("*.py")):
        compile(path.read_text(encoding="utf-8"), str(path), "exec")
from lib2 import database, deployment, platform, relay  # noqa: F401

print("the stand-ins load")
PY
