import type { SharedRecord } from '../peers/sharedRecord.js'

/** A target that broke off as it began to answer a request. */
export interface TargetCrash {
  readonly targetId: string
  /** Times on the monotonic clock, in milliseconds. */
  readonly sentAtMs: number
  readonly crashedAtMs: number
  /** Parts of the request's prompt that other requests may have too. */
  readonly parts: readonly string[]
}

/** Returns the value of a crash's shared record. */
export function encodeCrash(crash: TargetCrash): string[] {
  const { targetId, sentAtMs, crashedAtMs, parts } = crash
  return [targetId, String(Math.round(crashedAtMs - sentAtMs)), ...parts]
}

/** Returns the crash of a shared record. */
export function decodeCrash({
  value,
  observedAtMs,
}: Pick<SharedRecord, 'value' | 'observedAtMs'>): TargetCrash {
  const [targetId = '', runMs = '0', ...parts] = value
  const sentAtMs = observedAtMs - Number(runMs)
  return { targetId, sentAtMs, crashedAtMs: observedAtMs, parts }
}
