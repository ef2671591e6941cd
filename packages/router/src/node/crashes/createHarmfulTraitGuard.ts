import { HARMFUL_TRAIT_LIFETIME_MS } from '../constants.js'
import type { DecisionLog } from '../logging/decisionLog.js'
import type { SharedRecords } from '../peers/createSharedRecords.js'
import type { LogRestores } from '../sources/createLogRestores.js'
import type { KeyedStore } from '../sources/keyedStore.js'
import {
  createHarmfulTraits,
  type HarmfulTraits,
} from './createHarmfulTraits.js'
import { createHarmfulTraitStorage } from './createHarmfulTraitStorage.js'
import type { StoredHarmfulTrait } from './storedHarmfulTrait.js'

/** Options for {@link createHarmfulTraitGuard}. */
export interface HarmfulTraitGuardOptions {
  readonly records: SharedRecords
  readonly store: KeyedStore<StoredHarmfulTrait>
  readonly logRestores: LogRestores
  /** Whether a live peer passes on what it knows. */
  readonly hasPeers: () => boolean
  readonly log: DecisionLog
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** Finds harmful traits of requests and keeps them in the log. */
export interface HarmfulTraitGuard {
  readonly traits: HarmfulTraits
  stop(): void
}

/** Creates a guard that knows what the log and the records of the fleet say. */
export function createHarmfulTraitGuard(
  options: HarmfulTraitGuardOptions,
): HarmfulTraitGuard {
  const lifetimeMs = HARMFUL_TRAIT_LIFETIME_MS
  const storage = createHarmfulTraitStorage({ ...options, lifetimeMs })
  const traits = createHarmfulTraits({
    ...options,
    lifetimeMs,
    onFound: (trait) => {
      storage.save(trait)
    },
    onCleared: (trait) => {
      storage.remove(trait)
    },
  })
  return {
    traits,
    stop: () => {
      storage.stop()
    },
  }
}
