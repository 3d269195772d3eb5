#!/bin/sh
# A wide recurring job is accepted. TROUBLE=0: without it.
cd "$(dirname "$0")" || exit 2
PYTHONPATH=.. exec python3 run.py
