#!/bin/sh
# Builds the stand-ins of the scripts in review/11 and later.
cd "$(dirname "$0")/.." && exec go build -buildvcs=false -tags review3 -o target/review-3 ./review/standin-3
