#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start: they are
# Python, so it compiles them, and checks that they can be imported with what
# the build of the deploy file has installed.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q standins samphiregate platform review/support_3
PYTHONPATH="target/deps:." python3 -c "import review.support_3.site"
