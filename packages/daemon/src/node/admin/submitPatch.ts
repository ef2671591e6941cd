import { setTimeout as sleep } from 'node:timers/promises'
import {
  CONFIGURATION_STREAM,
  type PatchOutcome,
  type PatchRecord,
} from '@auburnbay/core'
import { ACCEPT_CHECK_MS, ACCEPT_TIMEOUT_MS } from '../constants.js'
import type { ConfigurationTailer } from '../configuration/createConfigurationTailer.js'
import type { LogClient } from '../logService/logClient.js'

/** Appends a patch and waits until it is read back; undefined is "unknown". */
export async function submitPatch(
  log: LogClient,
  tailer: ConfigurationTailer,
  record: PatchRecord,
): Promise<PatchOutcome | undefined> {
  const known = tailer.state.outcomes.get(record.patchId)
  if (known) return known
  await log.append(CONFIGURATION_STREAM, [record])
  const checks = Math.ceil(ACCEPT_TIMEOUT_MS / ACCEPT_CHECK_MS)
  for (let check = 0; check < checks; check += 1) {
    const outcome = tailer.state.outcomes.get(record.patchId)
    if (outcome) return outcome
    await sleep(ACCEPT_CHECK_MS)
  }
  return undefined
}
