import { PAUSE_MS } from './constants.js'

/** A router that was heard within the time limit. */
export interface LivePeer<T> {
  readonly id: string
  readonly heartbeat: T
  /** Milliseconds since the last heartbeat, without own pauses. */
  readonly ageMs: number
}

/** Decides which routers are alive, by the own monotonic clock alone. */
export interface PeerLiveness<T> {
  /** Takes in a heartbeat of one start of a router. */
  recordHeartbeat(
    id: string,
    incarnation: string,
    heartbeat: T,
    nowMs: number,
  ): void
  /** Call often: the time of a pause of this process is nobody's silence. */
  tick(nowMs: number): void
  /** Returns the newest live start of each router. */
  livePeers(nowMs: number): LivePeer<T>[]
  /** Returns the routers of which two starts are heard at once. */
  findDuplicates(nowMs: number): string[]
}

interface Heard<T> {
  readonly incarnation: string
  readonly heartbeat: T
  heardAtMs: number
}

/** Creates the knowledge of who is alive; incarnations sort by start time. */
export function createPeerLiveness<T>(timeoutMs: number): PeerLiveness<T> {
  const routers = new Map<string, Map<string, Heard<T>>>()
  let tickedAtMs: number | undefined

  function liveStarts(starts: Map<string, Heard<T>>, nowMs: number) {
    return [...starts.values()]
      .filter(({ heardAtMs }) => nowMs - heardAtMs <= timeoutMs)
      .sort((a, b) => (a.incarnation < b.incarnation ? 1 : -1))
  }

  function forgetSilent(nowMs: number): void {
    for (const [id, starts] of routers) {
      for (const [incarnation, { heardAtMs }] of starts)
        if (nowMs - heardAtMs > 2 * timeoutMs) starts.delete(incarnation)
      if (starts.size === 0) routers.delete(id)
    }
  }

  function forgivePause(pausedMs: number): void {
    for (const starts of routers.values())
      for (const heard of starts.values()) heard.heardAtMs += pausedMs
  }

  return {
    recordHeartbeat(id, incarnation, heartbeat, nowMs) {
      const starts = routers.get(id) ?? new Map<string, Heard<T>>()
      starts.set(incarnation, { incarnation, heartbeat, heardAtMs: nowMs })
      routers.set(id, starts)
    },
    tick(nowMs) {
      const passedMs = nowMs - (tickedAtMs ?? nowMs)
      tickedAtMs = nowMs
      if (passedMs > PAUSE_MS) forgivePause(passedMs)
      forgetSilent(nowMs)
    },
    livePeers(nowMs) {
      const found: LivePeer<T>[] = []
      for (const [id, starts] of routers) {
        const [newest] = liveStarts(starts, nowMs)
        if (!newest) continue
        const { heartbeat, heardAtMs } = newest
        found.push({ id, heartbeat, ageMs: Math.max(0, nowMs - heardAtMs) })
      }
      return found
    },
    findDuplicates: (nowMs) =>
      [...routers]
        .filter(([, starts]) => liveStarts(starts, nowMs).length > 1)
        .map(([id]) => id),
  }
}
