#!/bin/sh
# Builds the stand-ins of the second review's scripts: they need python3 alone.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q support_2
