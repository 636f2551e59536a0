#!/usr/bin/env bash
# The stand-ins of the cases are Python programs and need no compiler; this checks that they compile
# and that the program of the deploy file is there.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib
import sys
if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or later")
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
CHECK
[ -x ../target/greengagehead ] || {
    echo "target/greengagehead is missing: run the build of deploy/system.toml first" >&2
    exit 1
}
