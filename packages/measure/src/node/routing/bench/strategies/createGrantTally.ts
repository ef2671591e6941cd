import type {
  GrantRequest,
  GrantResponse,
  SelectionSource,
} from '@auburnbay/core'
import type { SimulatedRouter } from './createSimulatedRouter.js'

/** Sources, waiting time and traffic of the grants of a run. */
export interface GrantTally {
  readonly sources: Record<SelectionSource, number>
  /** Longest wait for a target in milliseconds. */
  longestWaitMs: number
  /** Requests between routers and their responses. */
  exchanges: number
  /** Bytes of requests and responses as JSON, without framing. */
  payloadBytes: number
  /** Exchanges of each router, as sender and as coordinator. */
  readonly exchangesByRouter: number[]
}

/** Creates an empty tally for a fleet of `routers`. */
export function createGrantTally(routers: number): GrantTally {
  return {
    sources: { credit: 0, grant: 0, share: 0, forced: 0, none: 0 },
    longestWaitMs: 0,
    exchanges: 0,
    payloadBytes: 0,
    exchangesByRouter: new Array<number>(routers).fill(0),
  }
}

/** Adds a grant request and its response between two routers to a tally. */
export function recordExchange(
  tally: GrantTally,
  routers: readonly SimulatedRouter[],
  request: GrantRequest,
  response: GrantResponse,
): void {
  tally.exchanges += 1
  tally.payloadBytes +=
    JSON.stringify(request).length + JSON.stringify(response).length
  for (const { index } of routers)
    tally.exchangesByRouter[index] = (tally.exchangesByRouter[index] ?? 0) + 1
}
