#!/bin/sh
# Builds the stand-ins of the review's scripts: target/review.
# They need nothing but what the build of the deploy file has put into target/deps.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
cp review/lib/*.py target/review/
PYTHONPATH=target/deps:target/review python3 -c 'import aiohttp, client, fleet, platform_store, servers'
