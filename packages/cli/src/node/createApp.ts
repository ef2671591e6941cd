import { subcommands } from 'cmd-ts'
import { configCommands } from './commands/config/configCommands.js'
import {
  customerCommands,
  operatorCommands,
  ruleCommands,
  serviceCommands,
  teamCommands,
} from './commands/entries/entryGroups.js'
import { chatCommands } from './commands/fleet/chatCommands.js'
import { drainCommand } from './commands/fleet/drainCommand.js'
import { explainCommand } from './commands/fleet/explainCommand.js'
import { explainRequestCommand } from './commands/fleet/explainRequestCommand.js'
import { routersCommand } from './commands/fleet/routersCommand.js'
import { targetCommands } from './commands/fleet/targetCommands.js'
import { topCommand } from './commands/fleet/topCommand.js'
import { keyCommands } from './commands/secrets/keyCommands.js'

/** Creates the command-line application. */
export function createApp() {
  return subcommands({
    name: 'auburnbay',
    description:
      'Administers an auburnbay router fleet. Set AUBURNBAY_ADMIN to a router’s administration URL and AUBURNBAY_TOKEN to your token. Exit codes: docs/cli.md.',
    examples: [
      {
        description: 'the version of each router',
        command: 'auburnbay config status',
      },
      { description: 'the load of each target', command: 'auburnbay top' },
    ],
    cmds: {
      config: configCommands,
      routers: routersCommand,
      targets: targetCommands,
      customers: customerCommands,
      services: serviceCommands,
      rules: ruleCommands,
      keys: keyCommands,
      teams: teamCommands,
      operators: operatorCommands,
      chats: chatCommands,
      drain: drainCommand,
      explain: explainCommand,
      'explain-request': explainRequestCommand,
      top: topCommand,
    },
  })
}
