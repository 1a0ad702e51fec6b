#!/bin/sh
# Builds every stand-in that the scripts of the second review start, into target/review-2/. The entry
# program comes from the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/rig-2
