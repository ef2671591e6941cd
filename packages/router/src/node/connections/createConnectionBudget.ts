import { CloseReason } from './closeReason.js'

/** What the connections of a server may use together. */
export interface ConnectionBounds {
  readonly maxConnections: number
  /** Requests that have no complete response yet. */
  readonly maxRequests: number
  /** Memory of requests and of responses that were not sent yet, in bytes. */
  readonly maxBytes: number
  /** Bytes of heads that have not ended. */
  readonly maxHeadBytes: number
}

/** Use of a budget by one connection; nothing counts after its end. */
export interface BudgetedConnection {
  readonly requests: number
  /** Counts a new request; returns whether there is room for it. */
  beginRequest(): boolean
  endRequest(): void
  /** Sets the number of requests that wait for earlier ones of the connection. */
  setWaiting(count: number): void
  /** Counts a request that is at a target: the connection stays until it ends. */
  beginWork(): void
  endWork(): void
  /** Counts `bytes` more, or fewer if negative; returns whether there is room for them. */
  tryAddBytes(bytes: number): boolean
  /** Replaces the bytes of a head that has not ended. */
  setHeadBytes(bytes: number): void
  end(): void
}

/** Bounds what clients make a server hold. */
export interface ConnectionBudget {
  readonly connections: number
  readonly requests: number
  readonly bytes: number
  /** Whether there is room for several requests of one connection at once. */
  readonly hasRoomAhead: boolean
  /** Counts a new connection. */
  open(actions: ConnectionActions): BudgetedConnection
}

/** What a budget does to a connection. */
export interface ConnectionActions {
  /** Closes the connection; its use has been taken back before. */
  readonly close: (reason: CloseReason) => void
  /** Drops the requests that wait; they are never run, and the connection ends after the others. */
  readonly dropWaiting: () => void
}

/** Memory of a request beside its body, in bytes: message objects, headers, timers and the send to a target. */
export const REQUEST_BYTES = 16 * 1024

/** Part of the requests beyond which a connection runs one at a time, so that others find room. */
const AHEAD_PART = 3 / 4

interface Holder {
  requests: number
  waiting: number
  /** Requests that are at targets. */
  working: number
  bytes: number
  headBytes: number
  /** Whether it takes no more requests. */
  isEnding: boolean
  ended: boolean
  readonly actions: ConnectionActions
}

/** Returns the holder that uses most, the latest of equals; undefined if none uses anything. */
function findLargest(
  holders: Iterable<Holder>,
  useOf: (holder: Holder) => number,
): Holder | undefined {
  let largest: Holder | undefined
  for (const holder of holders) {
    if (useOf(holder) === 0) continue
    if (!largest || useOf(holder) >= useOf(largest)) largest = holder
  }
  return largest
}

/**
 * Creates a budget without connections. Answers crowds of clients that send many
 * requests ahead, read no responses or only connect: at a bound, requests that wait
 * behind others of their connection give way first, and connections that use most while
 * no target works for them. A request at a target never does: a new one is refused.
 */
export function createConnectionBudget(
  bounds: ConnectionBounds,
): ConnectionBudget {
  const holders = new Set<Holder>()
  // Both are in the order in which their connections began to wait.
  const withoutRequest = new Set<Holder>()
  const idle = new Set<Holder>()
  let requests = 0
  let bytes = 0
  let headBytes = 0

  function setHeadBytes(holder: Holder, newBytes: number): void {
    headBytes += newBytes - holder.headBytes
    holder.headBytes = newBytes
  }

  function take(holder: Holder, newRequests: number, newBytes: number): void {
    holder.requests += newRequests
    holder.bytes += newBytes
    requests += newRequests
    bytes += newBytes
  }

  function end(holder: Holder): void {
    if (holder.ended) return
    holder.ended = true
    take(holder, -holder.requests, -holder.bytes)
    setHeadBytes(holder, 0)
    holders.delete(holder)
    withoutRequest.delete(holder)
    idle.delete(holder)
  }

  function evict(holder: Holder | undefined, reason: CloseReason): boolean {
    if (!holder) return false
    end(holder)
    holder.actions.close(reason)
    return true
  }

  function first(waiting: ReadonlySet<Holder>): Holder | undefined {
    for (const holder of waiting) return holder
    return undefined
  }

  /** Drops what waits on the connection with most of it; returns whether there was any. */
  function dropWaiting(): boolean {
    const holder = findLargest(holders, ({ waiting }) => waiting)
    if (!holder) return false
    const { waiting } = holder
    holder.waiting = 0
    holder.isEnding = true
    take(holder, -waiting, -waiting * REQUEST_BYTES)
    holder.actions.dropWaiting()
    return true
  }

  function evictForMemory(): boolean {
    const largest = findLargest(holders, ({ working, bytes: held }) =>
      working > 0 ? 0 : held,
    )
    return evict(largest, CloseReason.Memory)
  }

  /** Makes room for requests and bytes; returns whether there is. */
  function makeRoom(newRequests: number, newBytes: number): boolean {
    while (requests + newRequests > bounds.maxRequests)
      if (!dropWaiting()) return false
    while (bytes + newBytes > bounds.maxBytes)
      if (!dropWaiting() && !evictForMemory()) return false
    return true
  }

  /** Whether a connection takes requests; making room may end any one. */
  function isOpen(holder: Holder): boolean {
    return holders.has(holder) && !holder.isEnding
  }

  return {
    get connections() {
      return holders.size
    },
    get requests() {
      return requests
    },
    get bytes() {
      return bytes
    },
    get hasRoomAhead() {
      return requests < AHEAD_PART * bounds.maxRequests
    },
    open(actions) {
      const holder: Holder = {
        requests: 0,
        waiting: 0,
        working: 0,
        bytes: 0,
        headBytes: 0,
        isEnding: false,
        ended: false,
        actions,
      }
      // A connection that has not sent a request for longest is worth least.
      if (holders.size >= bounds.maxConnections)
        evict(first(withoutRequest) ?? first(idle), CloseReason.Connections)
      holders.add(holder)
      withoutRequest.add(holder)
      if (holders.size > bounds.maxConnections)
        evict(holder, CloseReason.Connections)
      return {
        get requests() {
          return holder.requests
        },
        beginRequest() {
          if (holder.ended) return false
          withoutRequest.delete(holder)
          idle.delete(holder)
          setHeadBytes(holder, 0)
          const hasRoom = makeRoom(1, REQUEST_BYTES) && isOpen(holder)
          if (hasRoom) take(holder, 1, REQUEST_BYTES)
          else if (holder.requests === 0 && holders.has(holder))
            idle.add(holder)
          return hasRoom
        },
        endRequest() {
          if (holder.ended || holder.requests === 0) return
          take(holder, -1, -REQUEST_BYTES)
          if (holder.requests === 0) idle.add(holder)
        },
        setWaiting(count) {
          holder.waiting = count
        },
        beginWork() {
          holder.working += 1
        },
        endWork() {
          holder.working -= 1
        },
        tryAddBytes(change) {
          if (holder.ended) return false
          if (change > 0 && !(makeRoom(0, change) && holders.has(holder)))
            return false
          take(holder, 0, change)
          return true
        },
        setHeadBytes(newBytes) {
          if (holder.ended) return
          setHeadBytes(holder, newBytes)
          while (headBytes > bounds.maxHeadBytes)
            evict(
              findLargest(holders, ({ headBytes: held }) => held),
              CloseReason.Heads,
            )
        },
        end() {
          end(holder)
        },
      }
    },
  }
}
