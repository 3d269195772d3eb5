#!/bin/sh
# Lets one runner of ten go down and up. TROUBLE=0: it stays up.
cd "$(dirname "$0")" || exit 2
PYTHONPATH=.. exec python3 run.py
