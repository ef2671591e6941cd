import { NO_WORK, type TargetWork, type WorkByTarget } from './targetWork.js'

/** Work under way at targets, from this router and its peers. */
export interface FleetLoad {
  /** A request is sent, of whose prompt the target must read `unreadTokens`. */
  started(targetId: string, unreadTokens: number): void
  /** The target has read that many tokens, or never will. */
  read(targetId: string, tokens: number): void
  ended(targetId: string): void
  /** Work that this router has under way. */
  own(): WorkByTarget
  /** Takes in what a peer has under way. */
  heard(router: string, work: WorkByTarget, nowMs: number): void
  /** Work that all routers have under way at a target. */
  total(targetId: string, nowMs: number): TargetWork
}

interface PeerWork {
  readonly work: WorkByTarget
  readonly heardAtMs: number
}

/**
 * Creates an empty load.
 * @param staleMs Milliseconds after which what a peer told is no longer used.
 */
export function createFleetLoad(staleMs: () => number): FleetLoad {
  const own = new Map<string, TargetWork>()
  const peers = new Map<string, PeerWork>()
  // Sums over the peers, so that a look at a target need not ask each of them.
  const told = new Map<string, TargetWork>()
  let checkedAtMs = -Infinity

  function addTo(
    sums: Map<string, TargetWork>,
    targetId: string,
    requests: number,
    tokens: number,
  ): void {
    const work = sums.get(targetId) ?? NO_WORK
    const sum = {
      requests: work.requests + requests,
      unreadTokens: work.unreadTokens + tokens,
    }
    if (sum.requests > 0) sums.set(targetId, sum)
    else sums.delete(targetId)
  }

  function forget(router: string): void {
    const last = peers.get(router)
    if (!last) return
    peers.delete(router)
    for (const [id, { requests, unreadTokens }] of last.work)
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
    started(targetId, unreadTokens) {
      addTo(own, targetId, 1, unreadTokens)
    },
    read(targetId, tokens) {
      addTo(own, targetId, 0, -tokens)
    },
    ended(targetId) {
      addTo(own, targetId, -1, 0)
    },
    own: () => own,
    heard(router, work, nowMs) {
      forget(router)
      peers.set(router, { work, heardAtMs: nowMs })
      for (const [id, { requests, unreadTokens }] of work)
        addTo(told, id, requests, unreadTokens)
    },
    total(targetId, nowMs) {
      dropStale(nowMs)
      const mine = own.get(targetId) ?? NO_WORK
      const theirs = told.get(targetId) ?? NO_WORK
      return {
        requests: mine.requests + theirs.requests,
        unreadTokens: mine.unreadTokens + theirs.unreadTokens,
      }
    },
  }
}
