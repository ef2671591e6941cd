import {
  command,
  number,
  option,
  oneOf,
  optional,
  positional,
  string,
} from 'cmd-ts'
import { Role } from '@auburnbay/core/teams/role'
import { connectionArgs } from '../connectionArgs.js'
import { runRequest } from '../runRequest.js'
import { createSecretFormatter } from './createSecretFormatter.js'

/** Creates an operator and shows its token once. */
export const createOperatorCommand = command({
  name: 'create',
  description: 'Create an operator and show its token once.',
  examples: [
    {
      description: 'an operator who may change the entries of team ice',
      command: 'auburnbay operators create anna --team ice --role editor',
    },
  ],
  args: {
    ...connectionArgs,
    id: positional({ type: string, displayName: 'ID' }),
    team: option({ long: 'team', type: string }),
    role: option({ long: 'role', type: oneOf(Object.values(Role)) }),
    expiresInS: option({
      long: 'expires-in-s',
      type: optional(number),
      description: 'seconds until the token expires; 90 days by default',
    }),
  },
  handler: ({ id, team, role, expiresInS, ...connection }) =>
    runRequest(
      connection,
      {
        method: 'POST',
        path: '/operators',
        body: { id, team, role, expiresInS },
      },
      createSecretFormatter('token'),
    ),
})
