#!/bin/sh
# Builds the stand-ins of the scripts, which need Python's library only.
cd "$(dirname "$0")" && exec python3 -m compileall -q standins
