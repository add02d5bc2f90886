#!/usr/bin/env bash
# Prepares the cases 11 to 15 after the deploy file's build. Their stand-ins are in Python (standard library only, no package), so that
# nothing is compiled; this checks that they can be loaded and that the gateway is there.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - review/common-3/*.py review/1[1-5]/*.py <<'P'
import sys
for path in sys.argv[1:]:
    compile(open(path, encoding="utf-8").read(), path, "exec")
P
[ -x target/banyan-gateway ] || { echo "target/banyan-gateway is missing: run the build of deploy/system.toml first" >&2; exit 1; }
