/** Kinds of facts that one router observes and that bind every router of the fleet. */
export enum RecordKind {
  /** A target crashed while it ran a request; key: attempt and target, value: target, milliseconds since the send, traits of the request. */
  TargetCrash = 'crash',
  /** A request with a trait was answered completely; key: trait. */
  TraitAnswered = 'answered',
  /** A trait was found harmful before the routers restarted; key: trait, value: the traits that its requests have in common. */
  HarmfulTrait = 'harmful',
  /** A target said that it leaves; key: the start of the target, value: its id. */
  TargetLeaving = 'leaving',
  /** A target named a limit on its requests per second, or none; key: target, value: limit. */
  TargetLimit = 'limit',
  /** A target said how many refusals per second it bears, or that it bears any; key: target, value: refusals. */
  TargetBrittle = 'brittle',
  /** A target said that it is cold; key: target, value: milliseconds. */
  TargetCold = 'cold',
  /** The log says whether a data centre is evacuated; key: data centre, value: restores of the log, offset, state. */
  Evacuation = 'evacuation',
}

/** A fact observed by one router. */
export interface SharedRecord {
  /** Incarnation of the router that observed it. */
  readonly origin: string
  /** Increases with each record of the origin. */
  readonly sequence: number
  /** A {@link RecordKind}, or a kind of a later release. */
  readonly kind: string
  readonly key: string
  readonly value: readonly string[]
  /** Time of the observation on this router's monotonic clock, in milliseconds. */
  readonly observedAtMs: number
}

/** A record as digests and state carry it. */
export type EncodedRecord = readonly [
  origin: string,
  sequence: number,
  kind: string,
  key: string,
  value: readonly string[],
  ageMs: number,
]

/** Encodes a record; its age is valid at `nowMs`. */
export function encodeRecord(
  record: SharedRecord,
  nowMs: number,
): EncodedRecord {
  const { origin, sequence, kind, key, value, observedAtMs } = record
  return [origin, sequence, kind, key, value, Math.round(nowMs - observedAtMs)]
}

/** Decodes a record that was encoded just before `nowMs`. */
export function decodeRecord(
  [origin, sequence, kind, key, value, ageMs]: EncodedRecord,
  nowMs: number,
): SharedRecord {
  return { origin, sequence, kind, key, value, observedAtMs: nowMs - ageMs }
}

/** Whether a decoded value is an encoded record. */
export function isEncodedRecord(value: unknown): value is EncodedRecord {
  if (!Array.isArray(value)) return false
  const [origin, sequence, kind, key, strings, ageMs] = value as unknown[]
  return (
    typeof origin === 'string' &&
    typeof sequence === 'number' &&
    typeof kind === 'string' &&
    typeof key === 'string' &&
    Array.isArray(strings) &&
    strings.every((item) => typeof item === 'string') &&
    typeof ageMs === 'number'
  )
}
