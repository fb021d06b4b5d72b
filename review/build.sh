#!/usr/bin/env bash
# Builds the stand-ins that the scripts start.  They are Python and run with the
# dependencies that the build of the deploy file puts under target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPYCACHEPREFIX="target/review-pycache"
python3 -m compileall -q fakes review
