import type { CallKind } from './schedule.js'

/** What one caller was told. */
export interface CallOutcome {
  readonly kind: CallKind
  /** Names this call alone. */
  readonly marker: string
  readonly idempotencyKey?: string
  /** 0 where no answer came. */
  readonly status: number
  readonly verdict?: string
  readonly text: string
  /** Whether the answer ended cleanly. */
  readonly whole: boolean
}
