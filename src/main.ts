#!/usr/bin/env node
/** Runs a controller, unless the first argument names a CLI command. Each loads only the modules that it needs. */
const first = process.argv[2];
if (first === undefined || first.startsWith('-')) await import('./program/controllerprogram.js');
else await import('./cli/cli.js');
