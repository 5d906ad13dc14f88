#!/usr/bin/env bash
# Builds what the scripts in review/4 to review/6 start besides the daemon of the deploy file: the project's own
# stand-ins, into target/standins. Needs no network. The daemon itself is built by the line `build` of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
cmake -S . -B target/standins -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build target/standins -j "${BRAMLEYTRACK_JOBS:-8}" --target \
    standin_platform standin_fleet standin_flow_target standin_flow_caller standin_link
