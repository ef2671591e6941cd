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

/** Calls other routers over keep-alive connections. */
export interface PeerClient {
  /** Bytes sent and received by all calls so far. */
  readonly traffic: TrafficCount
  /** Sends a heartbeat and returns the peer's; rejects on a timeout or failure. */
  heartbeat(address: string, heartbeat: Heartbeat): Promise<Heartbeat>
  /** Fetches records or a snapshot; rejects when the peer has none. */
  configurationSince(
    address: string,
    request: ConfigurationTransferRequest,
  ): Promise<ConfigurationTransfer>
  /** Requests slots from a group's coordinator; rejects on a timeout or failure. */
  grant(address: string, request: GrantRequest): Promise<GrantResponse>
  /** Requests a router's in-flight counts; rejects on a timeout or failure. */
  collect(address: string, request: CollectRequest): Promise<CollectResponse>
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

  function getClient(address: string): TRPCClient<PeerApi> {
    const existing = clients.get(address)
    if (existing) return existing
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

  const createCallOptions = () => ({
    signal: AbortSignal.timeout(PEER_CALL_TIMEOUT_MS),
  })

  return {
    traffic,
    heartbeat: (address, heartbeat) =>
      getClient(address).heartbeat.mutate(heartbeat, createCallOptions()),
    configurationSince: async (address, request) => {
      const signal = AbortSignal.timeout(PEER_FETCH_TIMEOUT_MS)
      const response = await getClient(address).configurationSince.mutate(
        request,
        { signal },
      )
      return configurationTransferSchema.parse(response)
    },
    grant: (address, request) =>
      getClient(address).grant.mutate(request, createCallOptions()),
    collect: (address, request) =>
      getClient(address).collect.mutate(request, createCallOptions()),
    close: () => {
      agent.destroy()
    },
  }
}
