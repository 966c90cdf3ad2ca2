#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. The program itself is built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/stage ./review/stage
