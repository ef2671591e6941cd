import type { CallerProtocol } from './callers/callerProtocol.js'
import type { OperatorEntry } from './configuration/operatorEntry.js'
import type { DecisionLog } from './logging/decisionLog.js'
import type { PeerAddress } from './peers/peerAddress.js'
import type { LogRestores } from './sources/createLogRestores.js'
import type { StoredHarmfulTrait } from './crashes/storedHarmfulTrait.js'
import type { KeyedSource } from './sources/keyedSource.js'
import type { KeyedStore } from './sources/keyedStore.js'
import type { StreamLog } from './streams/streamLog.js'
import type { StoredVersions } from './streams/storedVersions.js'
import type { CacheInventory } from './targets/cacheInventory.js'
import type { ListedTarget } from './targets/target.js'
import type { TargetProtocol } from './targets/targetProtocol.js'

/** Registry through which routers discover each other. */
export interface RouterDirectory {
  /** Registers a router; resolves to whether the registration is confirmed. */
  register(router: string, address: PeerAddress): Promise<boolean>
  /** Returns the registered routers, or undefined if the registry is unavailable. */
  list(): Promise<ReadonlyMap<string, PeerAddress> | undefined>
}

/** Interfaces through which a router uses the platform that it runs on. */
export interface RouterPorts {
  readonly callerProtocol: CallerProtocol
  readonly targetProtocol: TargetProtocol
  /** Configurations, each of them a complete one, and evacuations of data centres. */
  readonly operator: KeyedSource<OperatorEntry>
  /** Targets by id. */
  readonly targets: KeyedSource<ListedTarget>
  readonly directory: RouterDirectory
  /** Harmful traits of requests by id, which outlive all routers. */
  readonly harmfulTraits: KeyedStore<StoredHarmfulTrait>
  /** Software versions by service at which streams began, which outlive all routers. */
  readonly streamVersions: KeyedStore<StoredVersions>
  /** Streams of services with several software versions, which outlive all routers. */
  readonly streamLog: StreamLog
  readonly cacheInventory: CacheInventory
  /** Restores of the log that holds configurations, targets and the directory. */
  readonly logRestores: LogRestores
}

/** Creates the ports of a router for the log service at an address. */
export type CreatePorts = (
  logService: PeerAddress,
  log: DecisionLog,
) => RouterPorts
