#!/bin/bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. It needs no network: the module has no dependencies.
set -e
cd "$(dirname "$0")/standin-2"
mkdir -p bin
GOWORK=off CGO_ENABLED=0 go build -o bin/ .
mv bin/standin-2 bin/standin
