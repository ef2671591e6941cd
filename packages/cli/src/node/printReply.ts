import type { CallError, JsonReply } from '@auburnbay/http-utils'
import type { Result } from 'neverthrow'
import { ExitCode } from './exitCode.js'

/** Prints an answer and returns the exit code that belongs to it. */
export function printReply(reply: Result<JsonReply, CallError>): ExitCode {
  if (reply.isErr()) {
    process.stderr.write(
      `${reply.error.message}; check --admin and that the router runs\n`,
    )
    return ExitCode.Unreachable
  }
  const { status, body } = reply.value
  const text = `${JSON.stringify(body, null, 2)}\n`
  if (status < 300) {
    process.stdout.write(text)
    return ExitCode.Done
  }
  process.stderr.write(text)
  return status === 409 ? ExitCode.Conflict : ExitCode.Failed
}
