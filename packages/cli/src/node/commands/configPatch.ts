import { randomUUID } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { command, number, option, optional, positional, string } from 'cmd-ts'
import { createAdminClient } from '../adminClient.js'
import { printReply } from '../printReply.js'
import { connectionArgs } from './connectionArgs.js'

/** Submits a patch against a numbered version. */
export const configPatch = command({
  name: 'patch',
  description: 'Submit a JSON Patch (RFC 6902) against a numbered version.',
  args: {
    ...connectionArgs,
    base: option({
      long: 'base',
      type: number,
      description: 'version that the patch was made against',
    }),
    author: option({ long: 'author', type: string, description: 'your name' }),
    patchId: option({
      long: 'patch-id',
      type: optional(string),
      description: 'id for asking again; a new one by default',
    }),
    file: positional({ type: string, displayName: 'FILE' }),
  },
  handler: async ({ admin, token, base, author, patchId, file }) => {
    const operations: unknown = JSON.parse(readFileSync(file, 'utf8'))
    const reply = await createAdminClient(admin, token).call(
      'POST',
      '/config/patches',
      {
        patchId: patchId ?? randomUUID(),
        baseVersion: base,
        author,
        operations,
      },
    )
    process.exitCode = printReply(reply)
  },
})
