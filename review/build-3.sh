#!/bin/bash
# Builds the stand-in that the scripts of the third review start.
set -e
cd "$(dirname "$0")/.."
go build -o target/rig ./review/rig
