#!/usr/bin/env bash
# Builds the stand-ins that the cases of the second review start: the project's own, compiled apart from the
# production build. Run after the deploy file's build; needs no network.
set -e
cd "$(dirname "$0")/.."
exec node node_modules/typescript/bin/tsc --outDir target/review-2
