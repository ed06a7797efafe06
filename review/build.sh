#!/bin/sh
# Builds the stand-ins of the cases into target/review/. It needs no network.
set -eu
cd "$(dirname "$0")/standin"
go build -o ../../target/review/standin .
