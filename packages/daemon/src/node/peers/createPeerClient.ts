import { Agent } from 'node:http'
import type {
  CollectRequest,
  CollectResponse,
  GrantRequest,
  GrantResponse,
} from '@auburnbay/core'
import { createNodeFetch, type TrafficCount } from '@auburnbay/http-utils'
import { createTRPCClient, httpBatchLink, type TRPCClient } from '@trpc/client'
import { PEER_CALL_TIMEOUT_MS } from '../constants.js'
import { PEER_FETCH_TIMEOUT_MS } from '../configuration/constants.js'
import {
  type ConfigurationTransferRequest,
  type ConfigurationTransfer,
  configurationTransferSchema,
} from '../configuration/configurationTransfer.js'
import type { Heartbeat } from './heartbeat.js'
import type { PeerApi } from './peerApi.js'
import { PEER_SECRET_HEADER } from './peerSecret.js'
import { wireCodec } from './wireCodec.js'

/** Calls other routers over kept connections. */
export interface PeerClient {
  /** Bytes of all calls so far. */
  readonly traffic: TrafficCount
  /** Sends a heartbeat; rejects when the peer does not answer in time. */
  heartbeat(address: string, heartbeat: Heartbeat): Promise<Heartbeat>
  /** Fetches records or a snapshot; rejects when the peer has none. */
  configurationSince(
    address: string,
    since: ConfigurationTransferRequest,
  ): Promise<ConfigurationTransfer>
  /** Asks a group's home for places; rejects when it does not answer. */
  grant(address: string, ask: GrantRequest): Promise<GrantResponse>
  /** Asks for a router's counts; rejects when it does not answer. */
  collect(address: string, ask: CollectRequest): Promise<CollectResponse>
  close(): void
}

/** Creates the client for calls to other routers. */
export function createPeerClient(
  secret: string,
  agent: Agent = new Agent({ keepAlive: true }),
  scheme: 'http' | 'https' = 'http',
): PeerClient {
  const traffic: TrafficCount = { sentBytes: 0, receivedBytes: 0 }
  const clients = new Map<string, TRPCClient<PeerApi>>()

  function clientOf(address: string): TRPCClient<PeerApi> {
    const known = clients.get(address)
    if (known) return known
    const created = createTRPCClient<PeerApi>({
      links: [
        httpBatchLink({
          url: `${scheme}://${address}`,
          transformer: wireCodec,
          headers: { [PEER_SECRET_HEADER]: secret },
          fetch: createNodeFetch(agent, traffic) as typeof fetch,
        }),
      ],
    })
    clients.set(address, created)
    return created
  }

  const limited = () => ({ signal: AbortSignal.timeout(PEER_CALL_TIMEOUT_MS) })

  return {
    traffic,
    heartbeat: (address, heartbeat) =>
      clientOf(address).heartbeat.mutate(heartbeat, limited()),
    configurationSince: async (address, since) => {
      const signal = AbortSignal.timeout(PEER_FETCH_TIMEOUT_MS)
      const answer = await clientOf(address).configurationSince.mutate(since, {
        signal,
      })
      return configurationTransferSchema.parse(answer)
    },
    grant: (address, ask) => clientOf(address).grant.mutate(ask, limited()),
    collect: (address, ask) => clientOf(address).collect.mutate(ask, limited()),
    close: () => {
      agent.destroy()
    },
  }
}
