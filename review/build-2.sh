#!/bin/sh
# Checks the stand-ins of the second review: they are Python without further modules.
set -e
cd "$(dirname "$0")"
python3 -B -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 is needed"'
python3 -B -c 'from lib2 import fleet, forwarder, http, worker'
