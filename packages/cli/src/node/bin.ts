#!/usr/bin/env node
import { run, subcommands } from 'cmd-ts'
import { configGet } from './commands/configGet.js'
import { configPatch } from './commands/configPatch.js'

const config = subcommands({
  name: 'config',
  description: 'Read and change the configuration.',
  cmds: { get: configGet, patch: configPatch },
})

const app = subcommands({
  name: 'auburnbay',
  description: 'Administers an auburnbay router fleet.',
  cmds: { config },
})

await run(app, process.argv.slice(2))
