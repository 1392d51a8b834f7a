#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 14. It needs no network after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-3/standins-3 ./review/standins-3
