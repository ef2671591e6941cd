import {
  boolean,
  command,
  flag,
  number,
  option,
  optional,
  positional,
  string,
} from 'cmd-ts'
import { createAdminClient } from '../../adminClient.js'
import { ExitCode } from '../../exitCode.js'
import { messages } from '../../output/messages.js'
import { printResponse } from '../../output/printResponse.js'
import { connectionArgs } from '../connectionArgs.js'
import { readJsonFile } from '../readJsonFile.js'
import { createVersionFormatter } from '../runRequest.js'
import { submitPatch } from './submitPatch.js'

/** Submits a patch. */
export const patchCommand = command({
  name: 'patch',
  description: 'Submit a JSON Patch (RFC 6902) against a numbered version.',
  examples: [
    {
      description: 'against the version that the change was written for',
      command: 'auburnbay config patch --base 41 change.json',
    },
    {
      description: 'rebase onto newer versions while no paths clash',
      command: 'auburnbay config patch --base 41 --rebase change.json',
    },
    {
      description: 'retry after exit code 5; the patch is applied at most once',
      command: 'auburnbay config patch --base 41 --patch-id ID change.json',
    },
  ],
  args: {
    ...connectionArgs,
    base: option({
      long: 'base',
      type: optional(number),
      description:
        'version that the patch is based on; the current one by default',
    }),
    author: option({
      long: 'author',
      type: optional(string),
      description: 'your name, required with the administration secret',
    }),
    patchId: option({
      long: 'patch-id',
      type: optional(string),
      description: 'id of the patch, for a retry; a new one by default',
    }),
    rebase: flag({
      long: 'rebase',
      type: boolean,
      description: 'submit again after a conflict when no paths clash',
    }),
    file: positional({
      type: string,
      displayName: 'FILE',
      description: 'JSON file of operations, or - for standard input',
    }),
  },
  handler: async ({ admin, token, json, file, ...args }) => {
    const operations = readJsonFile(file)
    if (operations.isErr()) {
      messages.error(`${operations.error}.`)
      process.exitCode = ExitCode.Usage
      return
    }
    const client = createAdminClient(admin, token)
    const patch = { ...args, operations: operations.value }
    const result = await submitPatch(client, patch)
    process.exitCode = printResponse(
      result,
      json,
      createVersionFormatter('Accepted'),
    )
  },
})
