#!/bin/sh
# Builds the stand-ins that the scripts of the cases 4 to 8 start: target/review/standins-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
exec "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o target/review/standins-2 review/standins-2/*.cpp
