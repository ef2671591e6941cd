import {
  CONFIGURATION_STREAM,
  ConfigurationProblemKind,
  moveSnapshot,
  SNAPSHOT_STREAM,
} from '@auburnbay/core'
import { err, ok, type Result } from 'neverthrow'
import type { ConfigurationTailer } from '../configuration/createConfigurationTailer.js'
import type { LogClient } from '../logService/logClient.js'
import { AdminErrorCode } from './adminErrorCode.js'
import { createErrorResponse } from './adminResponses.js'
import type { AdminResponse } from './adminRoute.js'

const MOVABLE_PROBLEMS: ReadonlySet<ConfigurationProblemKind> = new Set([
  ConfigurationProblemKind.LogReplaced,
  ConfigurationProblemKind.LogShortened,
  ConfigurationProblemKind.LogRewritten,
])

/**
 * Writes a snapshot of the active version for a log that no longer holds it.
 *
 * All routers continue at the log's current end and skip the records before it.
 */
export async function moveConfiguration(
  log: LogClient,
  tailer: ConfigurationTailer,
  author: string,
): Promise<Result<undefined, AdminResponse>> {
  await tailer.refresh()
  const { state } = tailer
  if (!state.problem || !MOVABLE_PROBLEMS.has(state.problem.kind)) {
    const message = 'the log holds the version in force; nothing to move'
    return err(createErrorResponse(AdminErrorCode.Conflict, message))
  }
  const logEnd = await log.read(CONFIGURATION_STREAM, 0, 0, 0)
  if (logEnd.isErr())
    return err(
      createErrorResponse(AdminErrorCode.LogUnavailable, logEnd.error.message),
    )
  const { logId, nextOffset } = logEnd.value
  const snapshot = moveSnapshot(state, logId, nextOffset, author)
  const written = await log.append(SNAPSHOT_STREAM, [snapshot])
  if (written.isErr())
    return err(
      createErrorResponse(AdminErrorCode.Unknown, written.error.message),
    )
  await tailer.refresh()
  return ok(undefined)
}
