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

  function add(targetId: string, requests: number, tokens: number): void {
    const work = own.get(targetId) ?? NO_WORK
    const sum = {
      requests: work.requests + requests,
      unreadTokens: work.unreadTokens + tokens,
    }
    if (sum.requests > 0) own.set(targetId, sum)
    else own.delete(targetId)
  }

  return {
    started(targetId, unreadTokens) {
      add(targetId, 1, unreadTokens)
    },
    read(targetId, tokens) {
      add(targetId, 0, -tokens)
    },
    ended(targetId) {
      add(targetId, -1, 0)
    },
    own: () => own,
    heard(router, work, nowMs) {
      peers.set(router, { work, heardAtMs: nowMs })
    },
    total(targetId, nowMs) {
      const limitMs = staleMs()
      let { requests, unreadTokens } = own.get(targetId) ?? NO_WORK
      for (const [router, { work, heardAtMs }] of peers) {
        if (nowMs - heardAtMs > limitMs) {
          peers.delete(router)
          continue
        }
        const told = work.get(targetId) ?? NO_WORK
        requests += told.requests
        unreadTokens += told.unreadTokens
      }
      return { requests, unreadTokens }
    },
  }
}
