import { command, number, option, optional, positional, string } from 'cmd-ts'
import { createAdminClient } from '../../adminClient.js'
import { ExitCode } from '../../exitCode.js'
import { messages } from '../../output/messages.js'
import { printResponse } from '../../output/printResponse.js'
import { connectionArgs } from '../connectionArgs.js'
import { readJsonFile } from '../readJsonFile.js'

interface Outcome {
  readonly kind: string
  readonly reason?: string
  readonly version: number
}

const APPLIES = new Set(['applied', 'duplicate'])

function format(body: unknown): string {
  const { kind, reason, version } = body as Outcome
  if (APPLIES.has(kind)) return `The patch would lead to version ${version}.`
  return `The patch would be refused (${kind}): ${reason ?? ''}.`
}

/** Tries a patch out. */
export const validateCommand = command({
  name: 'validate',
  description: 'Say what a patch would do now, without submitting it.',
  examples: [
    {
      description: 'in a script: stop unless the patch would apply',
      command: 'auburnbay config validate change.json || exit',
    },
  ],
  args: {
    ...connectionArgs,
    base: option({
      long: 'base',
      type: optional(number),
      description: 'version of the patch; the one in force by default',
    }),
    file: positional({ type: string, displayName: 'FILE' }),
  },
  handler: async ({ admin, token, json, base, file }) => {
    const operations = readJsonFile(file)
    if (operations.isErr()) {
      messages.error(`${operations.error}.`)
      process.exitCode = ExitCode.Usage
      return
    }
    const reply = await createAdminClient(admin, token).call({
      method: 'POST',
      path: '/config/validate',
      body: { baseVersion: base, operations: operations.value },
    })
    const exitCode = printResponse(reply, json, format)
    const refused =
      exitCode === ExitCode.Done &&
      reply.isOk() &&
      !APPLIES.has((reply.value.body as Outcome).kind)
    process.exitCode = refused ? ExitCode.Failed : exitCode
  },
})
