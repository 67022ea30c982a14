#!/bin/sh
# Installs the pinned dependencies of the router and the package itself.
set -eu
deps=target/deps
if [ ! "$deps/.installed" -nt deploy/requirements.txt ]; then
    rm -rf "$deps"
    python3 -m pip install --quiet --target "$deps" --no-deps \
        --requirement deploy/requirements.txt
    touch "$deps/.installed"
fi
rm -rf "$deps/dandelioncleat"
cp -r src/dandelioncleat "$deps/dandelioncleat"
