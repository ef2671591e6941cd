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

/** Time in which targets that crash count as failing together, in milliseconds. */
const TOGETHER_MS = 1_000
/**
 * Targets that fail together whose streams are reported: as many as show a harmful request.
 * Each report reaches every router, and the loss of a data centre breaks off very many streams.
 */
const MAX_TOGETHER = 3

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

  /** Times at which streams of targets broke off lately. */
  const brokenAtMs = new Map<string, number>()

  /** Whether a target fails together with others whose streams are reported. */
  function isOneOfMany(incarnation: string): boolean {
    for (const [other, atMs] of brokenAtMs)
      if (now() - atMs > TOGETHER_MS) brokenAtMs.delete(other)
    if (brokenAtMs.has(incarnation)) return false
    if (brokenAtMs.size >= MAX_TOGETHER) return true
    brokenAtMs.set(incarnation, now())
    return false
  }

  return ({ request }, target, { sentAtMs, traits }, breakPoint) => {
    const incarnation = targetIncarnation(target)
    const isStream = breakPoint === BreakPoint.Stream
    if (isStream && (ends(target) || isOneOfMany(incarnation))) return
    const crash = { target: incarnation, sentAtMs, crashedAtMs: now(), traits }
    void confirm(target, incarnation).then((hasCrashed) => {
      if (hasCrashed) harmfulTraits.recordCrash(request.attemptId, crash)
    })
  }
}
