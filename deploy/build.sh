#!/bin/sh
# Put the run-time libraries and the workspace's packages into target/deps.
set -eu
stamp=target/deps/.requirements
if ! cmp -s requirements-run.txt "$stamp"; then
    rm -rf target/deps
    mkdir -p target/deps
    python3 -m pip install --quiet --target target/deps \
        --requirement requirements-run.txt
    cp requirements-run.txt "$stamp"
fi
for source in packages/savoryyoke/savoryyoke \
    packages/savoryyoke-wire/savoryyoke_wire \
    packages/savoryyoke-edge/savoryyoke_edge \
    packages/savoryyoke-gateway/savoryyoke_gateway \
    packages/savoryyoke-agent/savoryyoke_agent \
    platform/savoryyoke_platform; do
    rm -rf "target/deps/$(basename "$source")"
    cp -R "$source" target/deps/
done
python3 -m compileall -q target/deps/savoryyoke*
