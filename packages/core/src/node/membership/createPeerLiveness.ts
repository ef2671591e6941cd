import { MAX_TICK_GAP_MS } from './constants.js'

/** Router whose last heartbeat is within the timeout. */
export interface LivePeer<T> {
  readonly id: string
  readonly heartbeat: T
  /** Milliseconds since the last heartbeat, not counting pauses of this process. */
  readonly ageMs: number
}

/** Timeout-based failure detector that uses only the local monotonic clock. */
export interface PeerLiveness<T> {
  /** Records a heartbeat from one incarnation of a router. */
  recordHeartbeat(
    id: string,
    incarnation: string,
    heartbeat: T,
    nowMs: number,
  ): void
  /**
   * Must be called regularly. A gap of more than `MAX_TICK_GAP_MS` between two
   * calls is a pause of this process and does not count against any peer.
   */
  tick(nowMs: number): void
  /** Returns the newest live incarnation of each router. */
  livePeers(nowMs: number): LivePeer<T>[]
  /** Returns the ids of routers with two or more live incarnations. */
  findDuplicates(nowMs: number): string[]
}

interface ReceivedHeartbeat<T> {
  readonly incarnation: string
  readonly heartbeat: T
  receivedAtMs: number
}

/**
 * Creates a failure detector with a timeout in milliseconds. Incarnation strings
 * must sort by start time.
 */
export function createPeerLiveness<T>(timeoutMs: number): PeerLiveness<T> {
  const routers = new Map<string, Map<string, ReceivedHeartbeat<T>>>()
  let tickedAtMs: number | undefined

  function liveIncarnations(
    incarnations: Map<string, ReceivedHeartbeat<T>>,
    nowMs: number,
  ) {
    return [...incarnations.values()]
      .filter(({ receivedAtMs }) => nowMs - receivedAtMs <= timeoutMs)
      .sort((a, b) => (a.incarnation < b.incarnation ? 1 : -1))
  }

  function removeExpired(nowMs: number): void {
    for (const [id, incarnations] of routers) {
      for (const [incarnation, { receivedAtMs }] of incarnations)
        if (nowMs - receivedAtMs > 2 * timeoutMs)
          incarnations.delete(incarnation)
      if (incarnations.size === 0) routers.delete(id)
    }
  }

  function excludePause(pausedMs: number): void {
    for (const incarnations of routers.values())
      for (const received of incarnations.values())
        received.receivedAtMs += pausedMs
  }

  return {
    recordHeartbeat(id, incarnation, heartbeat, nowMs) {
      const incarnations =
        routers.get(id) ?? new Map<string, ReceivedHeartbeat<T>>()
      incarnations.set(incarnation, {
        incarnation,
        heartbeat,
        receivedAtMs: nowMs,
      })
      routers.set(id, incarnations)
    },
    tick(nowMs) {
      const passedMs = nowMs - (tickedAtMs ?? nowMs)
      tickedAtMs = nowMs
      if (passedMs > MAX_TICK_GAP_MS) excludePause(passedMs)
      removeExpired(nowMs)
    },
    livePeers(nowMs) {
      const found: LivePeer<T>[] = []
      for (const [id, incarnations] of routers) {
        const [newest] = liveIncarnations(incarnations, nowMs)
        if (!newest) continue
        const { heartbeat, receivedAtMs } = newest
        found.push({ id, heartbeat, ageMs: Math.max(0, nowMs - receivedAtMs) })
      }
      return found
    },
    findDuplicates: (nowMs) =>
      [...routers]
        .filter(
          ([, incarnations]) =>
            liveIncarnations(incarnations, nowMs).length > 1,
        )
        .map(([id]) => id),
  }
}
