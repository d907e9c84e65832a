#!/bin/sh
# Builds the stand-ins that the scripts of the cases start: target/review/standins.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
exec "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o target/review/standins review/standins/*.cpp
