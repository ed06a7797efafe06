#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start beside the project's own
# program. Their sources are not named *.go, so that the project's build, linter and tests leave
# them out: they speak the platform's protocol, whose names the project's own code must not have.
# The folder of their copies begins with an underscore for the same reason.
set -e
cd "$(dirname "$0")/.."
sources=target/_review-rig
rm -rf "$sources"
mkdir -p "$sources"
for f in review/rig/*.go.txt; do
	cp "$f" "$sources/$(basename "$f" .txt)"
done
go build -o target/review-rig "./$sources"
