#!/bin/sh
# Builds the stand-ins that the scripts of this folder start. It needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -buildvcs=false -o review/bin/ ./review/standin
