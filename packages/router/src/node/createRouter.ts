import { performance } from 'node:perf_hooks'
import { formatAddress } from '@auburnbay/http-utils/listen'
import { createCallPath } from './callers/createCallPath.js'
import type { RequestHandler } from './callers/createRequestHandler.js'
import { createConfigurationActivator } from './configuration/createConfigurationActivator.js'
import { createConfigurationStore } from './configuration/createConfigurationStore.js'
import type { Service } from './configuration/service.js'
import * as constants from './constants.js'
import { createIngress } from './createIngress.js'
import type { DecisionLog } from './logging/decisionLog.js'
import { coldStartOf } from './limits/coldBounds.js'
import { LogEvent } from './logging/logEvent.js'
import { createGracefulStop } from './stopping/createGracefulStop.js'
import { createRouterMetrics } from './metrics/createRouterMetrics.js'
import type { RouterMetrics } from './metrics/routerMetrics.js'
import { createFleetSize } from './peers/createFleetSize.js'
import { createIncarnation } from './peers/createIncarnation.js'
import { createPeers, type Peers } from './peers/createPeers.js'
import { createSharedRecords } from './peers/createSharedRecords.js'
import { createRouterState } from './peers/createRouterState.js'
import { createHarmfulTraitGuard } from './crashes/createHarmfulTraitGuard.js'
import type { RouterPorts } from './routerPorts.js'
import { createCacheRecovery } from './routing/createCacheRecovery.js'
import { createRoutingState } from './routing/createRoutingState.js'
import { createLogFollowers } from './sources/createLogFollowers.js'
import type { RouterSettings } from './settings/settingsSchema.js'
import { createStreamState } from './streams/createStreamState.js'
import { watchPauses } from './watchPauses.js'

/** A running router. */
export interface Router {
  /** Address for callers, as host:port. */
  readonly address: string
  readonly ready: boolean
  /** Applies changed settings, except for addresses. */
  reload(settings: RouterSettings): void
  readonly metrics: RouterMetrics
  /** Stops gracefully; resolves once all requests have ended or the grace period is over. */
  stop(): Promise<void>
}

/** Starts a router; rejects when an address is in use. */
export async function createRouter(
  initial: RouterSettings,
  ports: RouterPorts,
  log: DecisionLog,
): Promise<Router> {
  let settings = initial
  let stopping = false
  const now = (): number => performance.now()
  const incarnation = createIncarnation()
  // Assigned below: components that broadcast to peers are created before the peers, which relay requests to the handler.
  const peers: { current?: Peers } = {}
  const handlers: { current?: RequestHandler } = {}
  const configurationStore = createConfigurationStore()
  const livePeerCount = (): number => peers.current?.livePeers().length ?? 0
  const serviceOf = (name: string): Service | undefined =>
    configurationStore.current?.services.get(name)
  const records = createSharedRecords({
    origin: incarnation,
    lifetimeMs: constants.RECORD_LIFETIME_MS,
    onUpdate: () => {
      peers.current?.scheduleBroadcast()
    },
    now,
  })
  const routingState = createRoutingState({
    drainMs: () => settings.bounds.drainMs,
    maxLoadAgeMs: () => peers.current?.maxLoadAgeMs() ?? 0,
    onReachabilityChange: () => peers.current?.broadcast(),
    coldStartOf: (service) => coldStartOf(settings, serviceOf(service)),
    records,
    logRestores: ports.logRestores,
    log,
    now,
  })
  const { targetList, cacheLocations, reachability } = routingState
  const fleetSize = createFleetSize(settings.router.id)
  const metrics = createRouterMetrics()
  const applyConfiguration = createConfigurationActivator(
    configurationStore,
    () => peers.current?.broadcast(),
    log,
  )

  const pauses = watchPauses({
    onPause: () => {
      log.write(LogEvent.Paused, { version: configurationStore.version })
      targets.invalidate()
    },
    now,
  })
  const { configurations, targets } = createLogFollowers({
    router: settings.router.id,
    ports,
    configurationStore,
    ...routingState,
    drainMs: settings.bounds.drainMs,
    peers: () => peers.current,
    applyConfiguration,
    log,
    now,
    hasPausedSince: pauses.hasPausedSince,
  })
  const state = createRouterState({
    configurationStore,
    targetList,
    targets,
    configurationPollAgeMs: () => configurations.lastPollAgeMs(),
    applyConfiguration,
  })
  const { streams, storage: versionStorage } = createStreamState({
    ports,
    ...routingState,
    targets,
    configurationStore,
    startsFleet: settings.router.startsFleet,
    isWriter: () => peers.current?.hasFreshTargetReader() === false,
    log,
    now,
  })
  peers.current = await createPeers({
    settings,
    bounds: () => settings.bounds,
    incarnation,
    state,
    ...routingState,
    fleetSize,
    streams,
    records,
    onRelayed: (req, res, relayed) => {
      if (handlers.current) handlers.current.handle(req, res, { relayed })
      else res.destroy()
    },
    directory: ports.directory,
    logRestores: ports.logRestores,
    isStopping: () => stopping,
    metrics,
    log,
    now,
  })

  const harmfulTraitGuard = createHarmfulTraitGuard({
    records,
    store: ports.harmfulTraits,
    logRestores: ports.logRestores,
    hasPeers: () => livePeerCount() > 0,
    log,
    now,
  })
  const isReady = (): boolean =>
    !stopping && configurationStore.current !== undefined && targets.isLoaded()
  const sharesCache = (service: string): boolean =>
    serviceOf(service)?.sharesCache ?? false
  const callPath = createCallPath({
    settings: () => settings,
    protocol: ports.targetProtocol,
    routingState,
    streams,
    records,
    fleetSize,
    configurationStore,
    targetsAgeMs: () => targets.ageMs(),
    peersWithTargets: () =>
      peers.current?.peersWithTargets(configurationStore.version) ?? [],
    harmfulTraits: harmfulTraitGuard.traits,
    sharesCache,
    onNewPrompt: () => {
      peers.current?.scheduleBroadcast()
    },
    recoveryMs: () => cacheRecovery.remainingMs(),
    log,
    metrics,
    now,
    timeOfDay: Date.now,
  })
  const cacheRecovery = createCacheRecovery({
    router: settings.router.id,
    inventory: ports.cacheInventory,
    cacheLocations,
    targets: () =>
      isReady()
        ? [...targetList.all()].filter(({ service }) => sharesCache(service))
        : undefined,
    statements: callPath.statements,
    peers: peers.current,
    log,
    now,
  })
  const { handler, callers, statusServers } = await createIngress({
    settings,
    routingState,
    isReady,
    onHandler: (created) => {
      handlers.current = created
    },
    configurationStore,
    protocol: ports.callerProtocol,
    ...callPath,
    streams,
    log,
    metrics,
    targetsAgeMs: () => targets.ageMs(),
    isBehind: pauses.isBehind,
    sourceOutageMs: () => configurations.outageMs(),
    now,
  })
  log.write(LogEvent.Started, {
    dataCentre: settings.router.dataCentre,
    callers: formatAddress(callers.address),
    incarnation,
  })

  const stop = createGracefulStop({
    callers,
    handler,
    gracePeriodMs: () => settings.bounds.gracePeriodS * 1_000,
    onStopping: () => {
      stopping = true
      peers.current?.broadcast()
    },
    close: async () => {
      pauses.stop()
      reachability.stop()
      cacheRecovery.stop()
      configurations.stop()
      targets.stop()
      harmfulTraitGuard.stop()
      versionStorage.stop()
      peers.current?.close()
      callPath.close()
      await statusServers.close()
    },
    log,
    now,
  })

  return {
    address: formatAddress(callers.address),
    get ready() {
      return isReady()
    },
    reload(changed) {
      settings = changed
      log.write(LogEvent.SettingsReloaded, {})
    },
    metrics,
    stop,
  }
}
