#!/bin/sh
# The stand-ins need Python's standard library only; check that they can be read.
cd "$(dirname "$0")" || exit 1
exec python3 - lab.py [1-5]/case.py <<'EOF'
import sys

if sys.version_info < (3, 11):
    sys.exit("The scripts need Python 3.11.")
for name in sys.argv[1:]:
    with open(name) as source:
        compile(source.read(), name, "exec")
EOF
