#!/bin/sh
# Builds the stand-in that the scripts of review/N/ start. The build of deploy/system.toml comes first.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin ./review/standin
