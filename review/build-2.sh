#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start, after the build of the deploy file.
# The stand-ins are Python and run from the sources; this checks that they load.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review/common-2 python3 -c '
import lab
import turmericflow.tests.platform_stand_ins
'
