#!/usr/bin/env bash
# What the cases 6 to 10 need beside the deploy file's build: nothing is compiled. Their stand-ins (common-2/) are Python and use its
# standard library only; this checks that the interpreter can run them and that the gateway was built.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 - <<'P'
import ast, glob, sys
assert sys.version_info >= (3, 9), "expected Python 3.9 or later"
for path in sorted(glob.glob("review/common-2/*.py") + glob.glob("review/[6-9]/*.py") + glob.glob("review/10/*.py")):
    ast.parse(open(path).read(), path)
P
[ -x target/banyan-gateway ] || { echo "expected target/banyan-gateway, as the deploy file builds it" >&2; exit 1; }
