#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves out the disruption. See claim.txt.
exec python3 -B "$(dirname "$0")/case.py"
