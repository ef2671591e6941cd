import {
  createDigestExchange,
  type DigestExchange,
} from '@auburnbay/router/dissemination/createDigestExchange'
import { createPollers } from '@auburnbay/router/dissemination/createPollers'
import {
  encodeDigest,
  type PeerDigest,
} from '@auburnbay/router/peers/peerDigest'
import {
  type CacheLocations,
  createCacheLocations,
} from '@auburnbay/router/routing/createCacheLocations'
import {
  createFleetLoad,
  type FleetLoad,
} from '@auburnbay/router/routing/createFleetLoad'

/** Options for {@link createDigestNetwork}. */
export interface DigestNetworkOptions {
  readonly routers: number
  /** Returns the ids of all targets, which every router knows. */
  readonly targetIds: () => readonly string[]
  /** Decides whether the next datagram is lost. */
  readonly isLost: () => boolean
  /** Clock of the simulation, in milliseconds. */
  readonly now: () => number
}

/** What a router of the network knows, and has sent. */
export interface NetworkRouter {
  readonly load: FleetLoad
  readonly cacheLocations: CacheLocations
  readonly exchange: DigestExchange
  /** Bytes of its digests, with the headers of their datagrams. */
  sentBytes: number
}

/** IPv4 and UDP headers of a datagram. */
const HEADER_BYTES = 28
const MAX_PROMPTS = 10_000

/** Creates routers that exchange digests without sockets; a digest arrives before the next one is built. */
export function createDigestNetwork(options: DigestNetworkOptions) {
  const { now } = options
  const routers = new Map<string, NetworkRouter>()

  function createRouter(router: string): NetworkRouter {
    let sequence = 0
    const cacheLocations = createCacheLocations(MAX_PROMPTS)
    const load = createFleetLoad(() => exchange.maxLoadAgeMs())
    const exchange: DigestExchange = createDigestExchange({
      router,
      nextStatus: () => ({
        router,
        incarnation: '00000000',
        sequence: (sequence += 1),
        port: 7_340,
        configurationVersion: 10_000,
        configurationReadMs: null,
        targetsFingerprint: 4_000_000_000,
        targetsReadMs: null,
        targetsAgeMs: 100,
        stopping: false,
        logRestores: 1,
        recordsFingerprint: 4_000_000_000,
        targetResponseMs: 40,
      }),
      state: {
        targetIds: options.targetIds,
        targetsFingerprint: () => 4_000_000_000,
        configurationVersion: () => 10_000,
      },
      load,
      cacheLocations,
      streams: { takeUpdates: () => [], merge: () => undefined },
      records: { takeUpdates: () => [], merge: () => undefined },
      pollers: createPollers(),
      maxPollAgeMs: () => 1_000,
      isStopping: () => false,
      send: (digest: PeerDigest, addresses) => {
        state.sentBytes +=
          (encodeDigest(digest).length + HEADER_BYTES) * addresses.length
        for (const { host } of addresses)
          if (!options.isLost())
            routers.get(host)?.exchange.receive(digest, router)
      },
      onLost: () => undefined,
      onRole: () => undefined,
      now,
    })
    const state: NetworkRouter = {
      load,
      cacheLocations,
      exchange,
      sentBytes: 0,
    }
    return state
  }

  const names = Array.from(
    { length: options.routers },
    (_, i) => `frontend-data-centre-${i}`,
  )
  for (const name of names) routers.set(name, createRouter(name))
  for (const [name, { exchange }] of routers)
    for (const other of names)
      if (other !== name)
        exchange.view.table.addListed(other, { host: other, port: 1 }, now())

  return {
    states: [...routers.values()],
    /** Lets every router send the digests that are due. */
    tick() {
      for (const { exchange } of routers.values()) exchange.tick()
    },
  }
}
