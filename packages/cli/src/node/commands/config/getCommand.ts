import { command } from 'cmd-ts'
import { connectionArgs } from '../connectionArgs.js'
import { runRequest } from '../runRequest.js'

/** Shows the current configuration. */
export const getCommand = command({
  name: 'get',
  description: 'Show the current configuration, without salts and hashes.',
  examples: [
    {
      description: 'the targets of the current version',
      command: "auburnbay config get | jq '.configuration.targets'",
    },
  ],
  args: connectionArgs,
  handler: (args) => runRequest(args, { path: '/config' }),
})
