#!/usr/bin/env node
/** A controller, unless the first argument is one of the commands; either loads only what it needs. */
const first = process.argv[2];
if (first === undefined || first.startsWith('-')) await import('./program/controllerprogram.js');
else await import('./cli/cli.js');
