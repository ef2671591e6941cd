import {
  command,
  number,
  option,
  optional,
  positional,
  string,
  subcommands,
} from 'cmd-ts'
import { connectionArgs } from '../connectionArgs.js'
import { createVersionFormatter, buildPath, runRequest } from '../runRequest.js'
import { createSecretFormatter } from './createSecretFormatter.js'

const MS_PER_S = 1_000

const keyArgs = {
  customer: positional({ type: string, displayName: 'CUSTOMER' }),
  keyId: positional({ type: string, displayName: 'KEY-ID' }),
}

const create = command({
  name: 'create',
  description: 'Create a caller key and show it once.',
  examples: [
    {
      description: 'a key for the bridge that expires after 30 days',
      command: 'auburnbay keys create corrib bridge --expires-in-s 2592000',
    },
  ],
  args: {
    ...connectionArgs,
    ...keyArgs,
    expiresInS: option({
      long: 'expires-in-s',
      type: optional(number),
      description: 'seconds until the key expires; never by default',
    }),
  },
  handler: ({ customer, keyId, expiresInS, ...connection }) => {
    const expiresAtMs =
      expiresInS === undefined
        ? undefined
        : Math.ceil(Date.now() + expiresInS * MS_PER_S)
    const path = buildPath('customers', customer, 'keys')
    const req = { method: 'POST' as const, path, body: { keyId, expiresAtMs } }
    return runRequest(connection, req, createSecretFormatter('key'))
  },
})

const rotate = command({
  name: 'rotate',
  description: 'Create the next key; the old one stays valid for a while.',
  examples: [
    {
      description: 'both keys work for an hour',
      command: 'auburnbay keys rotate corrib bridge --overlap-s 3600',
    },
  ],
  args: {
    ...connectionArgs,
    ...keyArgs,
    overlapS: option({
      long: 'overlap-s',
      type: optional(number),
      description: 'seconds that the old key stays valid; a day by default',
    }),
  },
  handler: ({ customer, keyId, overlapS, ...connection }) => {
    const path = buildPath('customers', customer, 'keys', keyId, 'rotate')
    const req = { method: 'POST' as const, path, body: { overlapS } }
    return runRequest(connection, req, createSecretFormatter('key'))
  },
})

const revoke = command({
  name: 'revoke',
  description: 'Revoke a caller key at once.',
  args: { ...connectionArgs, ...keyArgs },
  handler: ({ customer, keyId, ...connection }) => {
    const path = buildPath('customers', customer, 'keys', keyId)
    const req = { method: 'DELETE' as const, path }
    return runRequest(
      connection,
      req,
      createVersionFormatter(`Revoked ${customer}/${keyId}`),
    )
  },
})

/** Commands that manage the keys of callers. */
export const keyCommands = subcommands({
  name: 'keys',
  description: 'Create, rotate and revoke callers’ keys.',
  cmds: { create, rotate, revoke },
})
