import { NO_LOAD, type TargetLoad, type LoadByTarget } from './targetLoad.js'

/** Work under way at targets, from this router and its peers. */
export interface FleetLoad {
  /** A request is sent, of whose prompt the target must read `unreadTokens`. */
  recordStart(targetId: string, unreadTokens: number): void
  /** The target has read that many tokens, or never will. */
  releasePromptTokens(targetId: string, tokens: number): void
  recordEnd(targetId: string): void
  /** Work that this router has under way. */
  own(): LoadByTarget
  /** Takes in what a peer has under way. */
  updatePeer(router: string, work: LoadByTarget, nowMs: number): void
  /** Work that all routers have under way at a target. */
  total(targetId: string, nowMs: number): TargetLoad
}

interface PeerWork {
  readonly work: LoadByTarget
  readonly heardAtMs: number
}

/**
 * Creates an empty load.
 * @param staleMs Milliseconds after which what a peer told is no longer used.
 */
export function createFleetLoad(staleMs: () => number): FleetLoad {
  const own = new Map<string, TargetLoad>()
  const peers = new Map<string, PeerWork>()
  // Sums over the peers, so that a look at a target need not ask each of them.
  const told = new Map<string, TargetLoad>()
  let checkedAtMs = -Infinity

  function addTo(
    sums: Map<string, TargetLoad>,
    targetId: string,
    requests: number,
    tokens: number,
  ): void {
    const work = sums.get(targetId) ?? NO_LOAD
    const sum = {
      requests: work.requests + requests,
      pendingPromptTokens: work.pendingPromptTokens + tokens,
    }
    if (sum.requests > 0) sums.set(targetId, sum)
    else sums.delete(targetId)
  }

  function forget(router: string): void {
    const last = peers.get(router)
    if (!last) return
    peers.delete(router)
    for (const [
      id,
      { requests, pendingPromptTokens: unreadTokens },
    ] of last.work)
      addTo(told, id, -requests, -unreadTokens)
  }

  function dropStale(nowMs: number): void {
    if (nowMs <= checkedAtMs) return
    checkedAtMs = nowMs
    const limitMs = staleMs()
    for (const [router, { heardAtMs }] of peers)
      if (nowMs - heardAtMs > limitMs) forget(router)
  }

  return {
    recordStart(targetId, unreadTokens) {
      addTo(own, targetId, 1, unreadTokens)
    },
    releasePromptTokens(targetId, tokens) {
      addTo(own, targetId, 0, -tokens)
    },
    recordEnd(targetId) {
      addTo(own, targetId, -1, 0)
    },
    own: () => own,
    updatePeer(router, work, nowMs) {
      forget(router)
      peers.set(router, { work, heardAtMs: nowMs })
      for (const [id, { requests, pendingPromptTokens: unreadTokens }] of work)
        addTo(told, id, requests, unreadTokens)
    },
    total(targetId, nowMs) {
      dropStale(nowMs)
      const mine = own.get(targetId) ?? NO_LOAD
      const theirs = told.get(targetId) ?? NO_LOAD
      return {
        requests: mine.requests + theirs.requests,
        pendingPromptTokens:
          mine.pendingPromptTokens + theirs.pendingPromptTokens,
      }
    },
  }
}
