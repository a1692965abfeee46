#!/bin/bash
# Builds what the cases start: the controllers and the project's own stand-ins (target/emulator), with the compiler
# that the build of the deploy file has installed. The stand-ins of review/common are plain JavaScript.
cd "$(dirname "$0")/.." || exit 2
exec node node_modules/typescript/bin/tsc --outDir target
