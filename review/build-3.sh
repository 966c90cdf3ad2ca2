#!/usr/bin/env bash
# Builds the stand-ins of the cases from 11 on, into target/. The programs under test are built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/rig3 ./review/rig3
