#!/bin/sh
# Builds the stand-ins of cases 4 to 8: Python modules that need only the libraries in target/deps.
set -e
cd "$(dirname "$0")"
test -d ../target/deps/cbor2 || { echo "run the build of deploy/service.toml first"; exit 1; }
python3 -m compileall -q lib2
for case in 4 5 6 7 8; do
  if [ -d "$case" ]; then python3 -m compileall -q "$case"; fi
done
