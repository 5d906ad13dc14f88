#!/usr/bin/env bash
# Builds what the scripts in review/4 to review/6 start besides the daemon of the deploy file, into target/standins:
# the project's own stand-ins, and those in review/standins. Needs no network. The daemon itself is built by the line
# `build` of deploy/system.toml.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
cmake -S . -B target/standins -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build target/standins -j "${BRAMLEYTRACK_JOBS:-8}" --target \
    standin_platform standin_fleet standin_flow_target standin_flow_caller
for each in silent_link slow_start_link stale_store; do
    g++ -std=c++20 -O2 -Ilibraries -Istandins -o "target/standins/$each" \
        "review/standins/$each.cpp" standins/soak/link.cpp -Ltarget/standins \
        -lbramleytrack_io -lbramleytrack_core -lbramleytrack_messages -lspdlog -lfmt -lpopt -lhttp_parser -lev
done
