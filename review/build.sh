#!/usr/bin/env bash
# The stand-ins (standins/deployment.py) need no build: Python 3 with its standard library runs them.
python3 -B -c 'import sys, asyncio; sys.exit(sys.version_info < (3, 9))' || { echo "python3 (3.9 or later) is missing"; exit 2; }
