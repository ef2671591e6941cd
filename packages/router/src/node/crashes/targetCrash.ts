import type { SharedRecord } from '../peers/sharedRecord.js'

/** A target that crashed while it ran a request. */
export interface TargetCrash {
  /** Incarnation of the target. */
  readonly target: string
  /** Times on the monotonic clock, in milliseconds. */
  readonly sentAtMs: number
  readonly crashedAtMs: number
  /** What the request has in common with others: shared prompt parts, and what its attempts alone share. */
  readonly traits: readonly string[]
}

/** Returns the value of a crash's shared record. */
export function encodeCrash(crash: TargetCrash): string[] {
  const { target, sentAtMs, crashedAtMs, traits } = crash
  return [target, String(Math.round(crashedAtMs - sentAtMs)), ...traits]
}

/** Returns the crash of a shared record. */
export function decodeCrash({
  value,
  observedAtMs,
}: Pick<SharedRecord, 'value' | 'observedAtMs'>): TargetCrash {
  const [target = '', runMs = '0', ...traits] = value
  const sentAtMs = observedAtMs - Number(runMs)
  return { target, sentAtMs, crashedAtMs: observedAtMs, traits }
}
