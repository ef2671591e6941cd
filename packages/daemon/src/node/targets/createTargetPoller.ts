import { createLoop, type Loop } from '../tasks/createLoop.js'
import type { TargetAddress } from './targetClient.js'

/**
 * Returns the targets to poll: those with requests and, with `includeIdle`, the
 * idle ones.
 */
export type PolledTargets = (includeIdle: boolean) => readonly TargetAddress[]

/** Options for {@link createTargetPoller}. */
export interface TargetPollerOptions {
  readonly targets: PolledTargets
  /** Milliseconds between two rounds of polls. */
  readonly intervalMs: number
  /** Polls one target; must not reject. */
  readonly poll: (target: TargetAddress) => Promise<void>
}

/** Idle targets are polled once in this many rounds. */
const IDLE_TARGET_POLL_ROUNDS = 10

/** Starts polling targets; a round polls all of them concurrently. */
export function createTargetPoller(options: TargetPollerOptions): Loop {
  const { targets, intervalMs, poll } = options
  let rounds = 0
  return createLoop(
    async () => {
      rounds += 1
      const includeIdle = rounds % IDLE_TARGET_POLL_ROUNDS === 0
      await Promise.all(targets(includeIdle).map(poll))
    },
    intervalMs,
    () => undefined,
  )
}
