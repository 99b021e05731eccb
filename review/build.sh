#!/usr/bin/env bash
# Builds the program that runs the cases: the stand-ins of clients, engines and the platform's store, and the checks.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review/ ./review/harness
