#!/usr/bin/env bash
# Places the libraries and our packages, compiled, under target/deps.
set -euo pipefail
deps=target/deps
stamp=target/requirements.txt
if ! cmp -s deploy/requirements.txt "$stamp"; then
    rm -rf "$deps"
    python3 -m pip install --quiet --target "$deps" \
        --requirement deploy/requirements.txt
    python3 -m compileall -q "$deps"
    cp deploy/requirements.txt "$stamp"
fi
for package in packages/bluebellbay/bluebellbay \
    packages/bluebellbayd/bluebellbayd platform/bluebellbay_platform; do
    rm -rf "$deps/$(basename "$package")"
    cp -R "$package" "$deps/"
done
python3 -m compileall -q "$deps/bluebellbay" "$deps/bluebellbayd" \
    "$deps/bluebellbay_platform"
