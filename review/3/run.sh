#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the disruption doesn't take place.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="target/deps:." PYTHONPYCACHEPREFIX="target/review-pycache"
exec python3 review/3/case.py "${TROUBLE:-1}"
