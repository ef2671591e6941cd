import { command, number, option, optional, positional, string } from 'cmd-ts'
import { createAdminClient } from '../../adminClient.js'
import { ExitCode } from '../../exitCode.js'
import { messages } from '../../output/messages.js'
import { printResponse } from '../../output/printResponse.js'
import { connectionArgs } from '../connectionArgs.js'
import { readJsonFile } from '../readJsonFile.js'

interface ValidationOutcome {
  readonly kind: string
  readonly reason?: string
  readonly version: number
}

const ACCEPTED_KINDS = new Set(['applied', 'duplicate'])

function format(body: unknown): string {
  const { kind, reason, version } = body as ValidationOutcome
  if (ACCEPTED_KINDS.has(kind))
    return `The patch would lead to version ${version}.`
  return `The patch would be refused (${kind}): ${reason ?? ''}.`
}

/** Validates a patch without submitting it. */
export const validateCommand = command({
  name: 'validate',
  description: 'Show what a patch would do now, without submitting it.',
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
      description:
        'version that the patch is based on; the current one by default',
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
    const result = await createAdminClient(admin, token).call({
      method: 'POST',
      path: '/config/validate',
      body: { baseVersion: base, operations: operations.value },
    })
    const exitCode = printResponse(result, json, format)
    const refused =
      exitCode === ExitCode.Done &&
      result.isOk() &&
      !ACCEPTED_KINDS.has((result.value.body as ValidationOutcome).kind)
    process.exitCode = refused ? ExitCode.Failed : exitCode
  },
})
