#!/bin/sh
# Writes record.txt; exits with 1: rule broken, 0: it held, 2: could not run.
exec python3 "$(dirname "$0")/case.py"
