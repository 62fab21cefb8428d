#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, beside the build of the deploy
# file in target/.
set -eu
cd "$(dirname "$0")/.."
cmake -S review/tests -B target/review -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build target/review --target review_cases
