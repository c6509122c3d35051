#!/bin/sh
# Builds the stand-ins of the second review's scripts: the project's own, into target/deps beside what the deploy file
# has built. Needs no network.
set -e
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "run the build of the deploy file first"; exit 1; }
cp -rp packages/fulmarstile_testing/src/. platform/fulmarstile_adapter_testing/src/. target/deps/
PYTHONPATH=target/deps:review/lib-2 python3 -c "import fleet"
