import type { SharedRecord } from '../peers/sharedRecord.js'

/** A target that broke off as it began to answer a request. */
export interface TargetCrash {
  /** Incarnation of the target. */
  readonly target: string
  /** Times on the monotonic clock, in milliseconds. */
  readonly sentAtMs: number
  readonly crashedAtMs: number
  /** Parts of the request's prompt that other requests may have too. */
  readonly parts: readonly string[]
}

/** Returns the value of a crash's shared record. */
export function encodeCrash(crash: TargetCrash): string[] {
  const { target, sentAtMs, crashedAtMs, parts } = crash
  return [target, String(Math.round(crashedAtMs - sentAtMs)), ...parts]
}

/** Returns the crash of a shared record. */
export function decodeCrash({
  value,
  observedAtMs,
}: Pick<SharedRecord, 'value' | 'observedAtMs'>): TargetCrash {
  const [target = '', runMs = '0', ...parts] = value
  const sentAtMs = observedAtMs - Number(runMs)
  return { target, sentAtMs, crashedAtMs: observedAtMs, parts }
}
