import type { ServerResponse } from 'node:http'

/** A request whose response is not complete yet. */
export interface ActiveCall {
  /** Aborted when the caller disconnects or by {@link ActiveCalls.abortAll}. */
  readonly signal: AbortSignal
}

/** Tracks the requests in flight. */
export interface ActiveCalls {
  readonly count: number
  /** Whether {@link ActiveCalls.abortAll} has been called. */
  readonly aborted: boolean
  /** Adds a call, which ends when its response is finished or aborted. */
  add(res: ServerResponse): ActiveCall
  /** Closes each connection after its current or next response. */
  disableKeepAlive(): void
  /** Aborts all calls and returns their number. */
  abortAll(): number
  /** Resolves when no call is in flight. */
  drained(): Promise<void>
}

/** Creates an empty {@link ActiveCalls}. */
export function createActiveCalls(): ActiveCalls {
  const active = new Map<ServerResponse, AbortController>()
  const drainListeners = new Set<() => void>()
  let keepAlive = true
  let aborted = false

  function end(res: ServerResponse, controller: AbortController): void {
    if (!res.writableFinished) controller.abort()
    active.delete(res)
    if (active.size > 0) return
    for (const resolve of drainListeners) resolve()
    drainListeners.clear()
  }

  return {
    get count() {
      return active.size
    },
    get aborted() {
      return aborted
    },
    add: (res) => {
      const controller = new AbortController()
      active.set(res, controller)
      if (!keepAlive) res.shouldKeepAlive = false
      res.once('close', () => {
        end(res, controller)
      })
      return { signal: controller.signal }
    },
    disableKeepAlive: () => {
      keepAlive = false
      for (const res of active.keys())
        if (!res.headersSent) res.shouldKeepAlive = false
    },
    abortAll: () => {
      aborted = true
      for (const controller of active.values()) controller.abort()
      return active.size
    },
    drained: () =>
      active.size === 0
        ? Promise.resolve()
        : new Promise((resolve) => {
            drainListeners.add(resolve)
          }),
  }
}
