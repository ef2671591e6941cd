import type { BufferLease } from '@auburnbay/http-utils/createBufferBudget'
import type { RelayedRequest } from '../peers/relayedRequest.js'

/** How a request came to the router. */
export interface RequestArrival {
  /** Set if a peer relays the request. */
  readonly relayed?: RelayedRequest
  /** Milliseconds for which it has waited since it was read. */
  readonly waitedMs?: number
  /** Counts bytes that are buffered for it, or released if negative; returns whether there is room for them. */
  readonly tryBuffer?: (bytes: number) => boolean
  /** Called when it goes to a target; what is returned is called when no target works on it any more. */
  readonly onWork?: () => { end(): void }
}

/** Returns a lease that reports what is buffered. */
export function reportedLease(
  lease: BufferLease,
  { tryBuffer }: RequestArrival,
): BufferLease {
  if (!tryBuffer) return lease
  let held = 0
  return {
    tryGrow(bytes) {
      if (!lease.tryGrow(bytes) || !tryBuffer(bytes)) return false
      held += bytes
      return true
    },
    end() {
      lease.end()
      tryBuffer(-held)
      held = 0
    },
  }
}
