#!/usr/bin/env bash
# Checks that every stand-in of the cases compiles; they need only the standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_bytes(), str(path), "exec")
    print("compiled", path)
PY
