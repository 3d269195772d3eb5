#!/usr/bin/env bash
# Builds the stand-ins that the cases start, after the build of the deploy
# file: they are Python and use what target/deps holds.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=.:target/deps
python3 -m compileall -q standins/store review
python3 -c "import review.support.runner, review.support.site, standins.store"
