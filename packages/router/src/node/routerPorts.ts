import type { CallerProtocol } from './callers/callerProtocol.js'
import type { RouterConfiguration } from './configuration/routerConfiguration.js'
import type { DecisionLog } from './logging/decisionLog.js'
import type { PeerAddress } from './peers/peerAddress.js'
import type { KeyedSource } from './sources/keyedSource.js'
import type { Target } from './targets/target.js'
import type { TargetProtocol } from './targets/targetProtocol.js'

/** The list that routers enter themselves in, to find each other. */
export interface RouterDirectory {
  /** Enters this router; resolves with whether it is surely in. */
  register(router: string, address: PeerAddress): Promise<boolean>
  /** Returns the routers that entered, or undefined while the list cannot be read. */
  list(): Promise<ReadonlyMap<string, PeerAddress> | undefined>
}

/** What stands between a router and the system that it runs in. */
export interface RouterPorts {
  readonly callerProtocol: CallerProtocol
  readonly targetProtocol: TargetProtocol
  /** Configurations; every value is a whole one. */
  readonly configurations: KeyedSource<RouterConfiguration>
  /** Targets by id. */
  readonly targets: KeyedSource<Target>
  readonly directory: RouterDirectory
}

/** Connects a router to the log service at an address. */
export type CreatePorts = (
  logService: PeerAddress,
  log: DecisionLog,
) => RouterPorts
