import { SNAPSHOT_STREAM } from '@auburnbay/core'
import { ok, type Result } from 'neverthrow'
import type { LogClient, LogError, LogPage } from '../logService/logClient.js'
import { MAX_SNAPSHOTS_READ } from './constants.js'

/** Reads the newest `count` snapshots of the log, newest last. */
export async function readSnapshots(
  log: LogClient,
  count = MAX_SNAPSHOTS_READ,
): Promise<Result<LogPage, LogError>> {
  const end = await log.read(SNAPSHOT_STREAM, 0, 0, 0)
  if (end.isErr()) return end
  const { firstOffset, nextOffset } = end.value
  const from = Math.max(firstOffset, nextOffset - count)
  return from === nextOffset
    ? ok(end.value)
    : log.read(SNAPSHOT_STREAM, from, 0, count)
}
