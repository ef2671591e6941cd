import type { SelectionSource } from '@auburnbay/core'

/** What the grants cost and did, over a whole run. */
export interface GrantTally {
  readonly sources: Record<SelectionSource, number>
  /** Longest wait for a decision in milliseconds. */
  longestWaitMs: number
  /** Messages and their answers. */
  exchanges: number
  /** Bytes of messages and answers before any framing. */
  payloadBytes: number
  /** The largest sum of bytes of one router, as sender and as home. */
  readonly exchangesOf: number[]
}

/** Creates an empty tally for a fleet of `routers`. */
export function createGrantTally(routers: number): GrantTally {
  return {
    sources: { credit: 0, grant: 0, share: 0, forced: 0, none: 0 },
    longestWaitMs: 0,
    exchanges: 0,
    payloadBytes: 0,
    exchangesOf: new Array<number>(routers).fill(0),
  }
}
