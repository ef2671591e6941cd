import { command, number, option, optional, positional, string } from 'cmd-ts'
import { connectionArgs } from '../connectionArgs.js'
import { buildPath, runRequest } from '../runRequest.js'
import { createSecretFormatter } from './createSecretFormatter.js'

/** Gives an operator a new token. */
export const rotateOperatorCommand = command({
  name: 'rotate',
  description: 'Give an operator a new token; the old one is revoked at once.',
  args: {
    ...connectionArgs,
    id: positional({ type: string, displayName: 'ID' }),
    expiresInS: option({
      long: 'expires-in-s',
      type: optional(number),
      description: 'seconds until the token expires; 90 days by default',
    }),
  },
  handler: ({ id, expiresInS, ...connection }) => {
    const path = buildPath('operators', id, 'rotate')
    const req = { method: 'POST' as const, path, body: { expiresInS } }
    return runRequest(connection, req, createSecretFormatter('token'))
  },
})
