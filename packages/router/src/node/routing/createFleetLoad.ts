import { NO_LOAD, type TargetLoad, type LoadByTarget } from './targetLoad.js'

/** Load of targets, from the requests of this router and its peers. */
export interface FleetLoad {
  /** Records a request whose target must prefill `promptTokens`. */
  recordStart(targetId: string, promptTokens: number): void
  /** Removes prompt tokens that the target has prefilled or never will. */
  releasePromptTokens(targetId: string, tokens: number): void
  recordEnd(targetId: string): void
  /** Returns the load from this router's own requests. */
  own(): LoadByTarget
  /** Replaces the load that a peer reported. */
  updatePeer(router: string, load: LoadByTarget, nowMs: number): void
  /** Forgets the load that a peer reported. */
  removePeer(router: string): void
  /** Returns the peers whose reports count. */
  peers(): string[]
  /** Returns the milliseconds since the oldest report that counts; 0 without any. */
  oldestReportMs(nowMs: number): number
  /** Returns the load from this router's own requests and from the reports of some peers. */
  sumOf(routers: Iterable<string>): LoadByTarget
  /** Returns the load from all requests but those that a peer reported. */
  sumWithout(router: string): LoadByTarget
  /** Returns the load of a target from all routers. */
  total(targetId: string, nowMs: number): TargetLoad
}

/** A sum of loads, changed in place: each digest changes the sum of many targets. */
interface LoadSum {
  requests: number
  pendingPromptTokens: number
}

interface PeerLoad {
  readonly load: LoadByTarget
  readonly receivedAtMs: number
}

const NO_LOADS: LoadByTarget = new Map()

/**
 * Creates an empty load.
 * @param staleMs Returns the milliseconds after which a peer's report is ignored.
 */
export function createFleetLoad(staleMs: () => number): FleetLoad {
  const own = new Map<string, LoadSum>()
  const peers = new Map<string, PeerLoad>()
  // Running sums over the peers, so that a lookup need not visit each of them.
  const peerTotals = new Map<string, LoadSum>()
  let checkedAtMs = -Infinity

  function addTo(
    sums: Map<string, LoadSum>,
    targetId: string,
    requests: number,
    tokens: number,
  ): void {
    const sum = sums.get(targetId)
    if (!sum) {
      if (requests > 0)
        sums.set(targetId, { requests, pendingPromptTokens: tokens })
      return
    }
    sum.requests += requests
    sum.pendingPromptTokens += tokens
    if (sum.requests <= 0) sums.delete(targetId)
  }

  function copyOf(load: LoadByTarget): Map<string, LoadSum> {
    const copy = new Map<string, LoadSum>()
    for (const [id, sum] of load) copy.set(id, { ...sum })
    return copy
  }

  /** Adds a load, or subtracts it if `sign` is negative. */
  function addAll(
    sums: Map<string, LoadSum>,
    load: LoadByTarget,
    sign: 1 | -1,
  ): void {
    for (const [id, { requests, pendingPromptTokens }] of load)
      addTo(sums, id, sign * requests, sign * pendingPromptTokens)
  }

  function removePeer(router: string): void {
    const last = peers.get(router)
    if (!last) return
    peers.delete(router)
    addAll(peerTotals, last.load, -1)
  }

  function removeStale(nowMs: number): void {
    if (nowMs <= checkedAtMs) return
    checkedAtMs = nowMs
    const limitMs = staleMs()
    for (const [router, { receivedAtMs }] of peers)
      if (nowMs - receivedAtMs > limitMs) removePeer(router)
  }

  return {
    recordStart(targetId, promptTokens) {
      addTo(own, targetId, 1, promptTokens)
    },
    releasePromptTokens(targetId, tokens) {
      addTo(own, targetId, 0, -tokens)
    },
    recordEnd(targetId) {
      addTo(own, targetId, -1, 0)
    },
    own: () => own,
    updatePeer(router, load, nowMs) {
      removePeer(router)
      peers.set(router, { load, receivedAtMs: nowMs })
      addAll(peerTotals, load, 1)
    },
    removePeer,
    peers: () => [...peers.keys()],
    oldestReportMs(nowMs) {
      let oldestMs = 0
      for (const { receivedAtMs } of peers.values())
        oldestMs = Math.max(oldestMs, nowMs - receivedAtMs)
      return oldestMs
    },
    sumOf(routers) {
      const sums = copyOf(own)
      for (const router of routers)
        addAll(sums, peers.get(router)?.load ?? NO_LOADS, 1)
      return sums
    },
    sumWithout(router) {
      const sums = copyOf(peerTotals)
      addAll(sums, own, 1)
      addAll(sums, peers.get(router)?.load ?? NO_LOADS, -1)
      return sums
    },
    total(targetId, nowMs) {
      removeStale(nowMs)
      const ownLoad = own.get(targetId) ?? NO_LOAD
      const peerLoad = peerTotals.get(targetId) ?? NO_LOAD
      return {
        requests: ownLoad.requests + peerLoad.requests,
        pendingPromptTokens:
          ownLoad.pendingPromptTokens + peerLoad.pendingPromptTokens,
      }
    },
  }
}
