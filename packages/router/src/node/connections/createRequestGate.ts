import type { ServerResponse } from 'node:http'

/** Most requests of one connection that run at once. */
export const MAX_UNDER_WAY = 8
/** Most requests of one connection without a response; no client has to send as many ahead. */
export const MAX_UNANSWERED = 32

/** Options for {@link createRequestGate}. */
export interface RequestGateOptions {
  /** Whether another request of the connection may run beside its first one. */
  readonly hasRoomAhead: () => boolean
  /** Called when the number of requests that wait changes. */
  readonly onWaiting: (count: number) => void
  /** Called once when the connection has sent too many requests ahead; it takes no more. */
  readonly onExceeded: () => void
  /** Called with the response after which the connection has to end; its head may have been sent. */
  readonly onLast: (last: ServerResponse) => void
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** Runs the requests of one connection, a few at a time and in order. */
export interface RequestGate {
  /** Runs a request once there is room for it; it gets the milliseconds for which it has waited. */
  submit(res: ServerResponse, run: (waitedMs: number) => void): void
  /** Whether a request runs. */
  readonly isBusy: boolean
  /** Takes no more requests; the connection ends after the last one that was taken. */
  exceed(): void
  /** Drops the requests that wait and takes no more; returns their responses. */
  dropWaiting(): ServerResponse[]
  /** Ends the requests of a connection that was closed. */
  close(): void
}

interface Waiting {
  readonly res: ServerResponse
  readonly run: (waitedMs: number) => void
  readonly receivedAtMs: number
}

/**
 * Creates a gate. Answers clients that send many requests ahead, each of which would
 * take memory and a slot of a target at once.
 */
export function createRequestGate(options: RequestGateOptions): RequestGate {
  const { now } = options
  const underWay = new Set<ServerResponse>()
  let waiting: Waiting[] = []
  let last: ServerResponse | undefined
  let isExceeded = false
  let isClosed = false

  function mayStart(): boolean {
    if (underWay.size === 0) return true
    return underWay.size < MAX_UNDER_WAY && options.hasRoomAhead()
  }

  function start({ res, run, receivedAtMs }: Waiting): void {
    underWay.add(res)
    // The request's own listeners run first, so that its end is counted before the next begins.
    run(now() - receivedAtMs)
    res.once('close', () => {
      underWay.delete(res)
      startNext()
    })
  }

  function startNext(): void {
    if (isClosed || waiting.length === 0) return
    const count = waiting.length
    while (mayStart()) {
      const next = waiting.shift()
      if (!next) break
      start(next)
    }
    if (waiting.length !== count) options.onWaiting(waiting.length)
  }

  function endAfterLast(): void {
    if (!last) return
    last.shouldKeepAlive = false
    options.onLast(last)
  }

  function exceed(): void {
    if (isExceeded) return
    isExceeded = true
    endAfterLast()
    options.onExceeded()
  }

  return {
    submit(res, run) {
      if (isExceeded || isClosed) return
      if (underWay.size + waiting.length >= MAX_UNANSWERED) {
        exceed()
        return
      }
      last = res
      const request = { res, run, receivedAtMs: now() }
      if (waiting.length === 0 && mayStart()) {
        start(request)
        return
      }
      waiting.push(request)
      options.onWaiting(waiting.length)
    },
    get isBusy() {
      return underWay.size > 0
    },
    exceed,
    dropWaiting() {
      const dropped = waiting.map(({ res }) => res)
      waiting = []
      for (const res of underWay) last = res
      if (isExceeded) endAfterLast()
      else exceed()
      options.onWaiting(0)
      return dropped
    },
    close() {
      if (isClosed) return
      isClosed = true
      waiting = []
      // Node tells only the response that is being sent that its connection has closed.
      for (const res of underWay) {
        if (res.destroyed) continue
        res.destroyed = true
        res.emit('close')
      }
    },
  }
}
