import type { SharedRecords } from '../peers/createSharedRecords.js'
import type { RecordKind } from '../peers/sharedRecord.js'

/** Options for {@link createTargetValues}. */
export interface TargetValuesOptions {
  readonly kind: RecordKind
  readonly records: SharedRecords
  /** Called when the value of a target has changed. */
  readonly onChange: (targetId: string, value: number | undefined) => void
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** A number that targets name in their responses, as the whole fleet has seen it. */
export interface TargetValues {
  /** Records what a response named; undefined if it names no value. */
  observe(targetId: string, value: number | undefined): void
  /** Returns the value that a target named last; undefined if it named none. */
  find(targetId: string): number | undefined
}

interface KnownValue {
  /** Absent if the target named none. */
  readonly value?: number
  readonly observedAtMs: number
}

/** Smallest change that is passed on, as a part of the value. */
const MIN_CHANGE = 0.05
/** Milliseconds after which an unchanged value is passed on again; well within the lifetime of a record. */
const REFRESH_MS = 60_000

function isSame(a: number | undefined, b: number | undefined): boolean {
  if (a === undefined || b === undefined) return a === b
  return Math.abs(a - b) <= MIN_CHANGE * b
}

/** Creates values without an observation. */
export function createTargetValues(options: TargetValuesOptions): TargetValues {
  const { kind, records, onChange, now } = options
  let values = new Map<string, KnownValue>()

  function newestValues(): Map<string, KnownValue> {
    const newest = new Map<string, KnownValue>()
    for (const { key, value: texts, observedAtMs } of records.list(kind)) {
      const known = newest.get(key)
      if (known && known.observedAtMs >= observedAtMs) continue
      const value = Number.parseFloat(texts[0] ?? '')
      newest.set(key, {
        ...(Number.isFinite(value) && { value }),
        observedAtMs,
      })
    }
    return newest
  }

  records.onChange(kind, () => {
    const before = values
    values = newestValues()
    for (const [targetId, { value }] of values)
      if (before.get(targetId)?.value !== value) onChange(targetId, value)
  })

  return {
    observe(targetId, value) {
      const known = values.get(targetId)
      const isRecent = known && now() - known.observedAtMs < REFRESH_MS
      const isKnown = isSame(value, known?.value)
      if (isKnown && (isRecent || value === undefined)) return
      const texts = value === undefined ? [] : [String(value)]
      records.publish(kind, targetId, texts, now())
    },
    find: (targetId) => values.get(targetId)?.value,
  }
}
