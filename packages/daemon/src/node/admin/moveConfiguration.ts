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
import { refuse } from './adminReplies.js'
import type { AdminReply } from './adminRoute.js'

const MOVABLE: ReadonlySet<ConfigurationProblemKind> = new Set([
  ConfigurationProblemKind.LogReplaced,
  ConfigurationProblemKind.LogShortened,
  ConfigurationProblemKind.LogRewritten,
])

/**
 * Places the version in force at the end of a log that lost it.
 *
 * Records that stand on that log so far are passed over on every router.
 */
export async function moveConfiguration(
  log: LogClient,
  tailer: ConfigurationTailer,
  author: string,
): Promise<Result<undefined, AdminReply>> {
  await tailer.refresh()
  const { state } = tailer
  if (!state.problem || !MOVABLE.has(state.problem.kind)) {
    const message = 'the log holds the version in force; nothing to move'
    return err(refuse(AdminErrorCode.Conflict, message))
  }
  const end = await log.read(CONFIGURATION_STREAM, 0, 0, 0)
  if (end.isErr())
    return err(refuse(AdminErrorCode.LogUnavailable, end.error.message))
  const { logId, nextOffset } = end.value
  const snapshot = moveSnapshot(state, logId, nextOffset, author)
  const written = await log.append(SNAPSHOT_STREAM, [snapshot])
  if (written.isErr())
    return err(refuse(AdminErrorCode.Unknown, written.error.message))
  await tailer.refresh()
  return ok(undefined)
}
