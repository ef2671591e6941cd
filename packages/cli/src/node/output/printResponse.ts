import type { RequestError, JsonResponse } from '@auburnbay/http-utils'
import type { Result } from 'neverthrow'
import { ExitCode } from '../exitCode.js'
import { messages } from './messages.js'

const EXIT_CODES_BY_STATUS: Readonly<Record<number, ExitCode>> = {
  401: ExitCode.Forbidden,
  403: ExitCode.Forbidden,
  409: ExitCode.Conflict,
  504: ExitCode.Unknown,
}

/** Formats the body of a successful response for people. */
export type BodyFormatter = (body: unknown) => string

function errorMessage(body: unknown): string {
  const { error } = (body ?? {}) as { error?: { message?: unknown } }
  return typeof error?.message === 'string'
    ? error.message
    : JSON.stringify(body)
}

function formatJson(body: unknown): string {
  return JSON.stringify(body, null, 2)
}

/** Prints a response and returns its exit code. */
export function printResponse(
  result: Result<JsonResponse, RequestError>,
  json: boolean,
  format: BodyFormatter = formatJson,
): ExitCode {
  if (result.isErr()) {
    messages.error(
      `${result.error.message}; check --admin and that the router runs.`,
    )
    return ExitCode.Unreachable
  }
  const { status, body } = result.value
  if (status < 300) {
    process.stdout.write(`${json ? formatJson(body) : format(body)}\n`)
    return ExitCode.Done
  }
  messages.error(`${errorMessage(body)}.`)
  if (json) process.stdout.write(`${formatJson(body)}\n`)
  return EXIT_CODES_BY_STATUS[status] ?? ExitCode.Failed
}
