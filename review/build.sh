#!/bin/sh
# Builds the stand-ins that the cases start. It needs no network: they use the standard library only.
set -e
cd "$(dirname "$0")"
mkdir -p bin
GOFLAGS=-mod=mod GOWORK=off CGO_ENABLED=0 go build -o bin/standin ./standin
