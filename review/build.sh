#!/bin/sh
# Builds the stand-ins of the cases into review/bin. It needs no network once the modules of go.mod are there.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/standins ./review/standins
