#!/bin/sh
# Builds the stand-ins of the scripts of the second review. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." && exec go build -buildvcs=false -tags review -o target/review-2 ./review/standin-2
