#!/bin/sh
# The stand-ins of the scripts need only Python's own library; this checks that they compile.
cd "$(dirname "$0")/.." || exit 1
exec python3 -B - review/lib/*.py review/[1-9]/*.py <<'PY'
import sys
for name in sys.argv[1:]:
    compile(open(name).read(), name, "exec")
PY
