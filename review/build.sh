#!/usr/bin/env bash
# Builds the stand-ins and the player of the cases, with the standard library only.
set -euo pipefail
cd "$(dirname "$0")/rig"
CGO_ENABLED=0 GOFLAGS=-mod=mod GOWORK=off go build -trimpath -o ../bin/rig .
