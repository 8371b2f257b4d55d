#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10 into review/bin. Needs only packages that deploy/system.toml declares.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
g++ -std=c++20 -O1 -Wall -Wextra -pthread rig-2.cpp -o bin/rig-2
