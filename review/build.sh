#!/bin/sh
# Builds the stand-ins of the scripts in review/ into review/bin. Needs only packages that deploy/system.toml declares.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
g++ -std=c++20 -O1 -Wall -Wextra -pthread rig.cpp -o bin/rig
