#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the project's own program.
# Usage: bash review/build-2.sh
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stands ./review/stands
