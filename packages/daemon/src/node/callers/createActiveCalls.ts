import type { ServerResponse } from 'node:http'

/** A caller's request that has not been answered in full. */
export interface ActiveCall {
  /** Aborted once the caller has gone or the call is cut off. */
  readonly signal: AbortSignal
}

/** Knows the requests under way. */
export interface ActiveCalls {
  readonly count: number
  /** Whether requests have been cut off. */
  readonly cutting: boolean
  /** Starts a call that lasts until its answer is sent or broken off. */
  begin(res: ServerResponse): ActiveCall
  /** Makes every answer from now on the last one of its connection. */
  closeConnections(): void
  /** Aborts every call and returns how many there were. */
  cutOff(): number
  /** Resolves once no call is under way. */
  drained(): Promise<void>
}

/** Creates an empty set of calls. */
export function createActiveCalls(): ActiveCalls {
  const active = new Map<ServerResponse, AbortController>()
  const waiters = new Set<() => void>()
  let closing = false
  let cutting = false

  function end(res: ServerResponse, controller: AbortController): void {
    if (!res.writableFinished) controller.abort()
    active.delete(res)
    if (active.size > 0) return
    for (const wake of waiters) wake()
    waiters.clear()
  }

  return {
    get count() {
      return active.size
    },
    get cutting() {
      return cutting
    },
    begin: (res) => {
      const controller = new AbortController()
      active.set(res, controller)
      if (closing) res.shouldKeepAlive = false
      res.once('close', () => {
        end(res, controller)
      })
      return { signal: controller.signal }
    },
    closeConnections: () => {
      closing = true
      for (const res of active.keys())
        if (!res.headersSent) res.shouldKeepAlive = false
    },
    cutOff: () => {
      cutting = true
      for (const controller of active.values()) controller.abort()
      return active.size
    },
    drained: () =>
      active.size === 0
        ? Promise.resolve()
        : new Promise((resolve) => {
            waiters.add(resolve)
          }),
  }
}
