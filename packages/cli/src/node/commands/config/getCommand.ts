import { command } from 'cmd-ts'
import { connectionArgs } from '../connectionArgs.js'
import { runRequest } from '../runRequest.js'

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
  handler: (args) => runRequest(args, { path: '/config' }),
})
