import { command } from 'cmd-ts'
import { createAdminClient } from '../adminClient.js'
import { printReply } from '../printReply.js'
import { connectionArgs } from './connectionArgs.js'

/** Shows the version in force. */
export const configGet = command({
  name: 'get',
  description: 'Show the configuration version in force.',
  args: connectionArgs,
  handler: async ({ admin, token }) => {
    const reply = await createAdminClient(admin, token).call('GET', '/config')
    process.exitCode = printReply(reply)
  },
})
