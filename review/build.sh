#!/bin/sh
# Builds the stand-ins of the cases: Python modules that need only the libraries in target/deps.
set -e
cd "$(dirname "$0")"
test -d ../target/deps/cbor2 || { echo "run the build of deploy/service.toml first"; exit 1; }
python3 -m compileall -q lib 1 2 3
