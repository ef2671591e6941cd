import type { ConfigurationState } from '../configuration/configurationState.js'
import { adoptSnapshot } from './adoptSnapshot.js'

/** The best of some snapshots, and why others were refused. */
export interface SnapshotChoice {
  readonly state?: ConfigurationState
  readonly snapshot?: unknown
  readonly refused: readonly string[]
}

/** Chooses the newest snapshot of a log that does not lead back. */
export function chooseSnapshot(
  state: ConfigurationState,
  logId: string,
  values: readonly unknown[],
): SnapshotChoice {
  let best: ConfigurationState | undefined
  let snapshot: unknown
  const refused: string[] = []
  for (const value of values) {
    const adopted = adoptSnapshot(best ?? state, value)
    if (adopted.isErr()) refused.push(adopted.error.message)
    else if (adopted.value.logId === logId) {
      best = adopted.value
      snapshot = value
    }
  }
  return { state: best, snapshot, refused }
}
