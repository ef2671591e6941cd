import { Agent } from 'node:http'
import { ControlPurpose } from '../metrics/controlPurpose.js'
import type { TrafficMeter } from '../metrics/createTrafficMeter.js'
import type { ResolvedSettings } from '../settings/settingsSchema.js'
import type { Certificates } from './createCertificates.js'

/** Agents of a router's calls, with TLS as the settings say. */
export interface Agents {
  readonly peers: Agent
  readonly log: Agent
  readonly vmList: Agent
  readonly loads: Agent
  readonly cacheEvents: Agent
  /** Makes an agent for requests to targets use TLS where it is set. */
  readonly secureTargetAgent: <T extends Agent>(agent: T) => T
}

/** Creates the agents and has their traffic counted. */
export function createAgents(
  settings: ResolvedSettings,
  certificates: Certificates,
  traffic: TrafficMeter,
): Agents {
  const forUrl = (url: string): Agent =>
    certificates.createAgent(url.startsWith('https:') ? {} : undefined)
  const toTargets = <T extends Agent>(agent: T): T =>
    certificates.secure(agent, settings.targets.tls)
  // Peers have changing addresses; the CA alone says who is a router.
  const peers = certificates.createAgent(settings.listen.peers.tls, {
    checksName: false,
  })
  const { Peers, Log, VmList, Loads, CacheEvents } = ControlPurpose
  return {
    peers: traffic.trackAgent(Peers, peers),
    log: traffic.trackAgent(Log, forUrl(settings.logService.url)),
    vmList: traffic.trackAgent(VmList, forUrl(settings.vmList.url)),
    loads: traffic.trackAgent(Loads, toTargets(new Agent({ keepAlive: true }))),
    cacheEvents: traffic.trackAgent(
      CacheEvents,
      toTargets(new Agent({ keepAlive: true })),
    ),
    secureTargetAgent: toTargets,
  }
}
