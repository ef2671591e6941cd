import { DIGEST_INTERVAL_MS } from '../../constants.js'
import { createSharedRecords } from '../../peers/createSharedRecords.js'
import {
  decodeDigest,
  encodeDigest,
  type PeerDigest,
} from '../../peers/peerDigest.js'
import { createCacheLocations } from '../../routing/createCacheLocations.js'
import { createFleetLoad } from '../../routing/createFleetLoad.js'
import {
  createDigestExchange,
  type DigestExchange,
} from '../createDigestExchange.js'
import { createPollers } from '../createPollers.js'
import { Direction } from '../createUpdateQueue.js'
import { createTestRandom } from './testRandom.js'
import type { TestListKeeper, TestRouter } from './testRouter.js'

/** Options for {@link createTestFleet}. */
export interface TestFleetOptions {
  readonly routers: number
  /** Share of datagrams that are lost. */
  readonly lossRate?: number
  /** Returns whether a datagram passes between two routers. */
  readonly isCut?: (from: string, to: string) => boolean
  readonly targets?: number
  /** Creates what keeps the target list of a router; without it all have the same one. */
  readonly keepList?: (router: TestRouter, now: () => number) => TestListKeeper
  /** Number of the first router. */
  readonly firstNumber?: number
}

const TRANSIT_MS = 1
const STEP_MS = 10
/** IPv4 and UDP headers of a datagram. */
const HEADER_BYTES = 28

/** Simulates the digests of a fleet on a fake clock, without sockets. */
export function createTestFleet(options: TestFleetOptions) {
  const random = createTestRandom(7)
  const targetIds = Array.from(
    { length: options.targets ?? 20 },
    (_, i) => `i-${String(i).padStart(4, '0')}`,
  )
  const routers = new Map<string, TestRouter>()
  const inbox: { atMs: number; to: string; host: string; bytes: Uint8Array }[] =
    []
  const listeners = new Map<string, (digest: PeerDigest) => void>()
  let nowMs = 0
  let isCut = options.isCut ?? (() => false)

  function deliver(from: TestRouter, to: string, bytes: Uint8Array): void {
    from.sentBytes += bytes.length + HEADER_BYTES
    from.sentDigests += 1
    if (random() < (options.lossRate ?? 0) || isCut(from.id, to)) return
    const atMs = nowMs + TRANSIT_MS + from.lagMs
    inbox.push({ atMs, to, host: from.id, bytes })
  }

  function start(id: string): TestRouter {
    const offsetMs = random() * DIGEST_INTERVAL_MS
    const now = (): number => nowMs
    const load = createFleetLoad(() => exchange.maxLoadAgeMs())
    const cacheLocations = createCacheLocations(10_000)
    const pollers = createPollers()
    let sequence = 0
    const incarnation = `${id}-${nowMs}-${offsetMs}`
    const records = createSharedRecords({
      origin: incarnation,
      lifetimeMs: 900_000,
      onUpdate: () => undefined,
      now,
    })
    const exchange: DigestExchange = createDigestExchange({
      router: id,
      nextStatus: () => ({
        router: id,
        incarnation,
        sequence: (sequence += 1),
        port: 1,
        configurationVersion: 1,
        configurationReadMs: router.pollAgeMs,
        targetsFingerprint: 1,
        targetsReadMs: router.pollAgeMs,
        targetsAgeMs: 0,
        stopping: router.isStopping,
        logRestores: 1,
        recordsFingerprint: records.fingerprint(),
        targetResponseMs: 0,
        ...router.listKeeper?.status(),
      }),
      state: {
        targetIds: () => targetIds,
        targetsFingerprint: () => 1,
        configurationVersion: () => 1,
      },
      load,
      cacheLocations,
      streams: { takeUpdates: () => [], merge: () => undefined },
      records,
      pollers,
      maxPollAgeMs: () => 2_000,
      isStopping: () => router.isStopping,
      send: (digest: PeerDigest, addresses) => {
        const bytes = encodeDigest(digest)
        for (const { host } of addresses) deliver(router, host, bytes)
      },
      onLost: (peer) => router.lost.push([peer, nowMs]),
      onRole: () => undefined,
      now,
    })
    const router: TestRouter = {
      id,
      exchange,
      load,
      cacheLocations,
      pollers,
      records,
      lost: [],
      isRunning: true,
      isFrozen: false,
      isStopping: false,
      lagMs: 0,
      pollAgeMs: null,
      sentBytes: 0,
      sentDigests: 0,
    }
    router.listKeeper = options.keepList?.(router, now)
    nextTickMs.set(id, nowMs + offsetMs)
    routers.set(id, router)
    return router
  }

  const nextTickMs = new Map<string, number>()

  function tick(router: TestRouter): void {
    if ((nextTickMs.get(router.id) ?? 0) > nowMs) return
    nextTickMs.set(router.id, nowMs + DIGEST_INTERVAL_MS)
    router.exchange.tick()
  }

  function receive(): void {
    const due = inbox.filter(({ atMs }) => atMs <= nowMs)
    const later = inbox.filter(({ atMs }) => atMs > nowMs)
    inbox.splice(0, inbox.length, ...later)
    for (const message of due) {
      const listener = listeners.get(message.to)
      const heard = listener && decodeDigest(message.bytes)
      if (heard) listener(heard)
      const router = routers.get(message.to)
      if (!router?.isRunning) continue
      // The datagrams of a frozen process wait in its socket.
      if (router.isFrozen) {
        inbox.push({ ...message, atMs: nowMs + STEP_MS })
        continue
      }
      const digest = decodeDigest(message.bytes)
      if (!digest || !router.exchange.receive(digest, message.host)) continue
      const peer = router.exchange.view.table.find(digest.router, nowMs)
      if (peer) router.listKeeper?.onDigest(peer)
    }
  }

  function step(): void {
    receive()
    for (const router of routers.values())
      if (router.isRunning && !router.isFrozen) tick(router)
    nowMs += STEP_MS
  }

  /** Lists all routers, as the router directory does. */
  function list(router: TestRouter): void {
    for (const id of routers.keys())
      if (id !== router.id)
        router.exchange.view.table.addListed(id, { host: id, port: 1 }, nowMs)
  }

  const first = options.firstNumber ?? 0
  for (let i = 0; i < options.routers; i += 1)
    start(`router-${String(first + i).padStart(4, '0')}`)
  for (const router of routers.values()) list(router)

  return {
    routers,
    get nowMs() {
      return nowMs
    },
    running: () => [...routers.values()].filter(({ isRunning }) => isRunning),
    runFor(ms: number) {
      for (const endMs = nowMs + ms; nowMs < endMs;) step()
    },
    step,
    /** Starts a router, also again under the id that it had. */
    restart(id: string): TestRouter {
      const router = start(id)
      list(router)
      return router
    },
    /** Calls `listener` with the digests sent to an address that is none of these routers. */
    onDatagram(address: string, listener: (digest: PeerDigest) => void) {
      listeners.set(address, listener)
    },
    setCut(cut: (from: string, to: string) => boolean) {
      isCut = cut
    },
    /** Requests in flight at a target at all running routers. */
    truth(targetId: string): number {
      let requests = 0
      for (const { isRunning, load } of routers.values())
        if (isRunning) requests += load.own().get(targetId)?.requests ?? 0
      return requests
    },
    sendNow(router: TestRouter, directions = [Direction.Up]) {
      router.exchange.sendNow(directions)
    },
    targetIds,
  }
}
