#!/bin/sh
# Builds the stand-ins that the scripts start; they use the standard library only.
cd "$(dirname "$0")/.." || exit 2
python3 -m compileall -q review
