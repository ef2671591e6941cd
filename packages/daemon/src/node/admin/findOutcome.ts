import type { PatchOutcome } from '@auburnbay/core'
import type { ConfigurationTailer } from '../configuration/createConfigurationTailer.js'

/** Returns the outcome of a patch; refreshes the tailer if it is not known yet. */
export async function findOutcome(
  tailer: ConfigurationTailer,
  patchId: string,
): Promise<PatchOutcome | undefined> {
  const known = tailer.state.outcomes.get(patchId)
  if (known) return known
  await tailer.refresh()
  return tailer.state.outcomes.get(patchId)
}
