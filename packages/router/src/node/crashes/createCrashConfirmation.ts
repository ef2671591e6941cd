import { setTimeout as sleep } from 'node:timers/promises'
import type { TargetList } from '../targets/createTargetList.js'
import type { Target } from '../targets/target.js'
import { targetIncarnation } from '../targets/targetIncarnation.js'

/** Options for {@link createCrashConfirmation}. */
export interface CrashConfirmationOptions {
  readonly targetList: Pick<TargetList, 'all' | 'find'>
  /** Resolves to whether a target accepts a connection. */
  readonly connects: (target: Target) => Promise<boolean>
}

/** Resolves to whether a target that broke off a response has crashed. */
export type CrashConfirmation = (target: Target) => Promise<boolean>

/** Milliseconds within which the list shows that a target has started again. */
const RESTART_MS = 5_000
/** Milliseconds between two looks at the list. */
const CHECK_MS = 100
/** Other targets to which this router tries to connect, to tell a crash from a cut of its own. */
const OTHER_TARGETS = 2

/**
 * Creates a confirmation. A target may lose the response to a request, also with a
 * reset, and go on serving others. One that has crashed accepts no connection for
 * some seconds, or has started again.
 */
export function createCrashConfirmation({
  targetList,
  connects,
}: CrashConfirmationOptions): CrashConfirmation {
  async function reachesOthers(target: Target): Promise<boolean> {
    const others = [...targetList.all()].filter(({ id }) => id !== target.id)
    if (others.length === 0) return true
    const first = Math.floor(Math.random() * others.length)
    const tried = [...others, ...others].slice(first, first + OTHER_TARGETS)
    const results = await Promise.all(tried.map(connects))
    return results.includes(true)
  }

  async function startsAgain(target: Target): Promise<boolean> {
    const incarnation = targetIncarnation(target)
    for (let ms = 0; ms < RESTART_MS; ms += CHECK_MS) {
      const listed = targetList.find(target.id)
      if (listed && targetIncarnation(listed) !== incarnation) return true
      await sleep(CHECK_MS, undefined, { ref: false })
    }
    return false
  }

  return async (target) =>
    (await connects(target)) ? startsAgain(target) : reachesOthers(target)
}
