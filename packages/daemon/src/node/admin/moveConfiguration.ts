import {
  CONFIGURATION_STREAM,
  ConfigurationProblemKind,
  moveSnapshot,
  SNAPSHOT_STREAM,
} from '@auburnbay/core'
import { err, ok, type Result } from 'neverthrow'
import { z } from 'zod'
import type { ConfigurationTailer } from '../configuration/createConfigurationTailer.js'
import type { LogClient } from '../logService/logClient.js'

/** Why the version in force was not moved. */
export interface MoveError {
  /** HTTP status. */
  readonly status: number
  readonly message: string
}

const requestSchema = z.strictObject({ author: z.string().min(1).max(128) })

const MOVABLE: ReadonlySet<ConfigurationProblemKind> = new Set([
  ConfigurationProblemKind.LogReplaced,
  ConfigurationProblemKind.LogShortened,
  ConfigurationProblemKind.LogRewritten,
])

function parse(text: string): string | undefined {
  try {
    return requestSchema.parse(JSON.parse(text)).author
  } catch {
    return undefined
  }
}

/**
 * Places the version in force at the end of a log that lost it.
 *
 * Records that stand on that log so far are passed over on every router.
 */
export async function moveConfiguration(
  log: LogClient,
  tailer: ConfigurationTailer,
  body: string,
): Promise<Result<undefined, MoveError>> {
  const author = parse(body)
  if (author === undefined)
    return err({ status: 400, message: 'send {"author": "your name"}' })
  await tailer.refresh()
  const { state } = tailer
  if (!state.problem || !MOVABLE.has(state.problem.kind)) {
    const message = 'the log holds the version in force; nothing to move'
    return err({ status: 409, message })
  }
  const end = await log.read(CONFIGURATION_STREAM, 0, 0, 0)
  if (end.isErr()) return err({ status: 503, message: end.error.message })
  const { logId, nextOffset } = end.value
  const snapshot = moveSnapshot(state, logId, nextOffset, author)
  const written = await log.append(SNAPSHOT_STREAM, [snapshot])
  if (written.isErr())
    return err({ status: 504, message: written.error.message })
  await tailer.refresh()
  return ok(undefined)
}
