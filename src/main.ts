#!/usr/bin/env node
/**
 * Runs a command of the CLI if the first argument names one, else a controller. Each loads only the modules it needs.
 */
const first = process.argv[2];
if (first === undefined || first.startsWith('-')) await import('./program/controllerprogram.js');
else await import('./cli/cli.js');
