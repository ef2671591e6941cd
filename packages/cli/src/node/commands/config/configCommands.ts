import { subcommands } from 'cmd-ts'
import { diffCommand } from './diffCommand.js'
import { getCommand } from './getCommand.js'
import { historyCommand } from './historyCommand.js'
import { patchCommand } from './patchCommand.js'
import { statusCommand } from './statusCommand.js'
import { validateCommand } from './validateCommand.js'

/** Commands that read and change the configuration. */
export const configCommands = subcommands({
  name: 'config',
  description: 'Read and change the configuration.',
  cmds: {
    get: getCommand,
    diff: diffCommand,
    patch: patchCommand,
    validate: validateCommand,
    history: historyCommand,
    status: statusCommand,
  },
})
