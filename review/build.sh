#!/usr/bin/env bash
# The cases' stand-ins are Python programs of this folder, with the standard library alone: nothing is compiled. This
# checks that the interpreter is there and reads all of them. The gateway is built by the deploy file's `build`.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - lib/*.py [0-9]*/*.py <<'PY'
import ast, asyncio, json, socket, sys
assert sys.version_info >= (3, 9), "Python 3.9 or newer wanted"
for name in sys.argv[1:]:
    ast.parse(open(name).read(), name)
print(f"{len(sys.argv) - 1} programs read")
PY
