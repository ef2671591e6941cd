import { command } from 'cmd-ts'
import { connectionArgs } from '../connectionArgs.js'
import { runCall } from '../runCall.js'

/** Shows the version in force. */
export const getCommand = command({
  name: 'get',
  description: 'Show the configuration in force, without salts and hashes.',
  examples: [
    {
      description: 'the targets of the version in force',
      command: "auburnbay config get | jq '.configuration.targets'",
    },
  ],
  args: connectionArgs,
  handler: (args) => runCall(args, { path: '/config' }),
})
