#!/bin/sh
# Builds the stand-ins of cases 4 to 8: Python modules that need only the libraries in target/deps.
# Case 5 also starts the version in production, which deploy/service.toml names; it is taken from the
# repository's history. Where that is missing, the case exits with 2.
set -e
cd "$(dirname "$0")"
test -d ../target/deps/cbor2 || { echo "run the build of deploy/service.toml first"; exit 1; }
python3 -m compileall -q lib2
for case in 4 5 6 7 8; do
  if [ -d "$case" ]; then python3 -m compileall -q "$case"; fi
done
production=$(sed -n 's/^production = "\([0-9a-f]*\)".*/\1/p' ../deploy/service.toml)
rm -rf ../target/production-2
mkdir -p ../target/production-2
if git -C .. archive --format=tar -o target/production-2.tar "$production" 2>/dev/null; then
  tar -xf ../target/production-2.tar -C ../target/production-2
  mkdir -p ../target/production-2/target
  ln -s ../../deps ../target/production-2/target/deps
else
  echo "the version in production is not in the history: case 5 can't run"
fi
rm -f ../target/production-2.tar
