import type { ConsolaInstance } from 'consola'
import {
  createTrafficMeter,
  type TrafficMeter,
} from '../metrics/createTrafficMeter.js'
import { createPeerClient, type PeerClient } from '../peers/createPeerClient.js'
import type { ResolvedSettings } from '../settings/settingsSchema.js'
import { type Agents, createAgents } from './createAgents.js'
import { type Certificates, createCertificates } from './createCertificates.js'

/** Certificates, agents and clients for a router's connections. */
export interface Network {
  readonly certificates: Certificates
  readonly traffic: TrafficMeter
  readonly agents: Agents
  readonly peerClient: PeerClient
}

/** Creates the certificates, agents, peer client and traffic meter. */
export function createNetwork(
  settings: ResolvedSettings,
  logger: ConsolaInstance,
): Network {
  const { pollMs } = settings.certificates
  const certificates = createCertificates(pollMs, logger)
  const traffic = createTrafficMeter()
  const agents = createAgents(settings, certificates, traffic)
  const scheme = settings.listen.peers.tls ? 'https' : 'http'
  const { peer } = settings.secrets
  const peerClient = createPeerClient(peer, agents.peers, scheme)
  return { certificates, traffic, agents, peerClient }
}
