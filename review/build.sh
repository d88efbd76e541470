#!/bin/sh
# Builds the stand-ins of the cases. They are Python programs (standard library, 3.11, as for .ci/deploy-build):
# this only checks that they compile. The controller itself comes from the build of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")"
python3 - rig/rig.py [0-9]/case.py <<'END'
import ast, sys
if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
END
