import { HARMFUL_PART_LIFETIME_MS } from '../constants.js'
import type { DecisionLog } from '../logging/decisionLog.js'
import type { SharedRecords } from '../peers/createSharedRecords.js'
import type { LogRestores } from '../sources/createLogRestores.js'
import type { KeyedStore } from '../sources/keyedStore.js'
import { createHarmfulParts, type HarmfulParts } from './createHarmfulParts.js'
import { createHarmfulPartStorage } from './createHarmfulPartStorage.js'
import type { StoredHarmfulPart } from './storedHarmfulPart.js'

/** Options for {@link createHarmfulPartGuard}. */
export interface HarmfulPartGuardOptions {
  readonly records: SharedRecords
  readonly store: KeyedStore<StoredHarmfulPart>
  readonly logRestores: LogRestores
  /** Whether a live peer passes on what it knows. */
  readonly hasPeers: () => boolean
  readonly log: DecisionLog
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** Finds harmful prompt parts and keeps them in the log. */
export interface HarmfulPartGuard {
  readonly parts: HarmfulParts
  stop(): void
}

/** Creates a guard that knows what the log and the records of the fleet say. */
export function createHarmfulPartGuard(
  options: HarmfulPartGuardOptions,
): HarmfulPartGuard {
  const lifetimeMs = HARMFUL_PART_LIFETIME_MS
  const storage = createHarmfulPartStorage({ ...options, lifetimeMs })
  const parts = createHarmfulParts({
    ...options,
    lifetimeMs,
    onFound: (part) => {
      storage.save(part)
    },
    onCleared: (part) => {
      storage.remove(part)
    },
  })
  return {
    parts,
    stop: () => {
      storage.stop()
    },
  }
}
