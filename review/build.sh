#!/bin/sh
# Builds the stand-ins and the clients of the scripts. The daemons are built by the command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/standin ./review/standin
