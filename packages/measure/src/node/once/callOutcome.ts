import type { CallKind } from './schedule.js'

/** Response that one caller observed. */
export interface CallOutcome {
  readonly kind: CallKind
  /** Identifies this call. */
  readonly marker: string
  readonly idempotencyKey?: string
  /** HTTP status; 0 when no response arrived. */
  readonly status: number
  readonly verdict?: string
  readonly text: string
  /** Whether the body was received to its end. */
  readonly complete: boolean
}
