import { Agent } from 'node:http'
import { ControlPurpose } from '../metrics/controlPurpose.js'
import type { TrafficMeter } from '../metrics/createTrafficMeter.js'
import type { ResolvedSettings } from '../settings/settingsSchema.js'
import type { Certificates } from './createCertificates.js'

/** HTTP agents for a router's outgoing requests, with TLS as configured. */
export interface Agents {
  readonly peers: Agent
  readonly log: Agent
  /** For appends to the log, which share no connection with reads. */
  readonly logAppends: Agent
  readonly vmList: Agent
  readonly loads: Agent
  readonly cacheEvents: Agent
  /** Enables TLS on an agent for requests to targets, if configured. */
  readonly secureTargetAgent: <T extends Agent>(agent: T) => T
}

/** Creates the agents and meters their traffic. */
export function createAgents(
  settings: ResolvedSettings,
  certificates: Certificates,
  traffic: TrafficMeter,
): Agents {
  const createUrlAgent = (url: string): Agent =>
    certificates.createAgent(url.startsWith('https:') ? {} : undefined)
  const secureTargetAgent = <T extends Agent>(agent: T): T =>
    certificates.enableTls(agent, settings.targets.tls)
  // The addresses of peers change, so only the CA identifies a router.
  const peers = certificates.createAgent(settings.listen.peers.tls, {
    verifyHostname: false,
  })
  const { Peers, Log, VmList, Loads, CacheEvents } = ControlPurpose
  return {
    peers: traffic.trackAgent(Peers, peers),
    log: traffic.trackAgent(Log, createUrlAgent(settings.logService.url)),
    logAppends: traffic.trackAgent(
      Log,
      createUrlAgent(settings.logService.url),
    ),
    vmList: traffic.trackAgent(VmList, createUrlAgent(settings.vmList.url)),
    loads: traffic.trackAgent(
      Loads,
      secureTargetAgent(new Agent({ keepAlive: true })),
    ),
    cacheEvents: traffic.trackAgent(
      CacheEvents,
      secureTargetAgent(new Agent({ keepAlive: true })),
    ),
    secureTargetAgent,
  }
}
