#!/usr/bin/env bash
# Builds the rig of the review, which holds all stand-ins that the scripts start. The deploy file's build comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/rig
