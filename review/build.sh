#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/ start, into build-review/ (ignored by git).
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
cmake -S . -B build-review -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build build-review --parallel "$(nproc)" --target \
    standin_platform standin_flow_target standin_flow_caller standin_fleet standin_link
