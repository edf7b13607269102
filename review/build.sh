#!/usr/bin/env bash
# Builds what the scripts of the cases start beside the entry: review/bin/case-N, each with its own stand-ins of the store, engines and clients.
# Needs g++ alone. The entry is built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [1-5]/main.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -I standins "$source" standins/standins.cpp -o "bin/case-${source%%/*}" -pthread &
done
wait
for source in [1-5]/main.cpp; do
    test -x "bin/case-${source%%/*}"
done
