import type { CrashConfirmation } from '../crashes/createCrashConfirmation.js'
import type { HarmfulTraits } from '../crashes/createHarmfulTraits.js'
import type { TargetList } from '../targets/createTargetList.js'
import type { Target } from '../targets/target.js'
import { TargetExclusion } from '../targets/targetExclusion.js'
import { targetIncarnation } from '../targets/targetIncarnation.js'
import type { Call } from './call.js'
import type { CallProgress } from './callProgress.js'

/** Options for {@link createCrashReporter}. */
export interface CrashReporterOptions {
  readonly harmfulTraits: Pick<HarmfulTraits, 'recordCrash'>
  readonly targetList: Pick<TargetList, 'find' | 'exclusionOf'>
  readonly confirmCrash: CrashConfirmation
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** Where a target broke off. */
export enum BreakPoint {
  /** Before its response, or early in it. */
  Start = 'start',
  /** Within a stream that had begun. */
  Stream = 'stream',
}

/** Reports that a target broke off while it ran a call. */
export type CrashReporter = (
  call: Call,
  target: Target,
  progress: CallProgress,
  breakPoint: BreakPoint,
) => void

/** Milliseconds within which responses that a target broke off share one confirmation. */
const SHARED_CONFIRMATION_MS = 100

/** Creates a reporter. */
export function createCrashReporter({
  harmfulTraits,
  targetList,
  confirmCrash,
  now,
}: CrashReporterOptions): CrashReporter {
  const confirmations = new Map<
    string,
    { readonly startedAtMs: number; readonly result: Promise<boolean> }
  >()

  /** Confirms a crash; all responses that it breaks off end at almost the same time. */
  function confirm(target: Target, incarnation: string): Promise<boolean> {
    const shared = confirmations.get(incarnation)
    if (shared && now() - shared.startedAtMs <= SHARED_CONFIRMATION_MS)
      return shared.result
    const started = { startedAtMs: now(), result: confirmCrash(target) }
    confirmations.set(incarnation, started)
    void started.result.finally(() => {
      if (confirmations.get(incarnation) === started)
        confirmations.delete(incarnation)
    })
    return started.result
  }

  /** Whether a target ends as planned, which breaks off the streams that it still has. */
  function ends({ id }: Target): boolean {
    const listed = targetList.find(id)
    if (!listed) return true
    const exclusion = targetList.exclusionOf(listed)
    return (
      exclusion === TargetExclusion.Draining ||
      exclusion === TargetExclusion.Leaving
    )
  }

  return ({ request }, target, { sentAtMs, traits }, breakPoint) => {
    if (breakPoint === BreakPoint.Stream && ends(target)) return
    const incarnation = targetIncarnation(target)
    const crash = { target: incarnation, sentAtMs, crashedAtMs: now(), traits }
    void confirm(target, incarnation).then((hasCrashed) => {
      if (hasCrashed) harmfulTraits.recordCrash(request.attemptId, crash)
    })
  }
}
