import {
  command,
  option,
  optional,
  positional,
  string,
  subcommands,
} from 'cmd-ts'
import { connectionArgs } from '../connectionArgs.js'
import { createTableFormatter, buildPath, runRequest } from '../runRequest.js'

const where = command({
  name: 'where',
  description: 'Show the target that would receive the chat’s next request.',
  examples: [
    {
      description: 'for one service',
      command: 'auburnbay chats where voyage-17 --service briefing',
    },
  ],
  args: {
    ...connectionArgs,
    chat: positional({ type: string, displayName: 'CHAT' }),
    service: option({
      long: 'service',
      type: optional(string),
      description: 'every model service by default',
    }),
    customer: option({
      long: 'customer',
      type: string,
      defaultValue: () => '',
      description: 'customer that sends the request',
    }),
  },
  handler: ({ chat, service, customer, ...connection }) => {
    const query = new URLSearchParams({ customer })
    if (service !== undefined) query.set('service', service)
    const path = `${buildPath('chats', chat)}?${query.toString()}`
    return runRequest(
      connection,
      { path },
      createTableFormatter([
        { title: 'CHAT', field: 'chat' },
        { title: 'SERVICE', field: 'service' },
        { title: 'TARGET', field: 'target' },
        { title: 'HINT', field: 'hintSource' },
      ]),
    )
  },
})

/** Commands that locate chats. */
export const chatCommands = subcommands({
  name: 'chats',
  description: 'Locate chats.',
  cmds: { where },
})
