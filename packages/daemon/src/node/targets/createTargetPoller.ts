import { createLoop, type Loop } from '../tasks/createLoop.js'
import type { TargetAddress } from './targetClient.js'

/** Which targets a round asks: those at work, or those without requests too. */
export type PolledTargets = (resting: boolean) => readonly TargetAddress[]

/** What a poller works with. */
export interface TargetPollerOptions {
  readonly targets: PolledTargets
  /** Milliseconds between two rounds. */
  readonly intervalMs: number
  /** Asks one target; does not reject. */
  readonly poll: (target: TargetAddress) => Promise<void>
}

/** Targets without requests are asked once in this many rounds. */
const IDLE_TARGET_POLL_ROUNDS = 10

/** Starts asking targets, each round all at once. */
export function createTargetPoller(options: TargetPollerOptions): Loop {
  const { targets, intervalMs: everyMs, poll } = options
  let rounds = 0
  return createLoop(
    async () => {
      rounds += 1
      const resting = rounds % IDLE_TARGET_POLL_ROUNDS === 0
      await Promise.all(targets(resting).map(poll))
    },
    everyMs,
    () => undefined,
  )
}
