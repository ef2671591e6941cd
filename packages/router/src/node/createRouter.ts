import { performance } from 'node:perf_hooks'
import { setTimeout as sleep } from 'node:timers/promises'
import { randomBytes } from 'node:crypto'
import { formatAddress } from '@auburnbay/http-utils/listen'
import { createCallerServer } from './callers/createCallerServer.js'
import { createDispatcher } from './callers/createDispatcher.js'
import { createConfigurationActivator } from './configuration/createConfigurationActivator.js'
import { createConfigurationStore } from './configuration/createConfigurationStore.js'
import * as constants from './constants.js'
import { createStallDetector } from './health/createStallDetector.js'
import { createTargetHealth } from './health/createTargetHealth.js'
import { HEALTH_OPTIONS } from './health/constants.js'
import { createRetryBudgets } from './limits/createRetryBudgets.js'
import { retryBoundsOf } from './limits/retryBoundsOf.js'
import type { DecisionLog } from './logging/decisionLog.js'
import { LogEvent } from './logging/logEvent.js'
import { createReadinessServer } from './stopping/createReadinessServer.js'
import { createMetricsServer } from './metrics/createMetricsServer.js'
import { createRouterMetrics } from './metrics/createRouterMetrics.js'
import { createFleetSize } from './peers/createFleetSize.js'
import { createPeers, type Peers } from './peers/createPeers.js'
import { maxLoadAgeMs } from './peers/maxLoadAgeMs.js'
import { createRouterState } from './peers/createRouterState.js'
import type { RouterPorts } from './routerPorts.js'
import { createFleetLoad } from './routing/createFleetLoad.js'
import { createCacheLocations } from './routing/createCacheLocations.js'
import { createCacheRecovery } from './routing/createCacheRecovery.js'
import { createTargetSelector } from './routing/createTargetSelector.js'
import { createLogFollowers } from './sources/createLogFollowers.js'
import type { RouterSettings } from './settings/settingsSchema.js'
import { createResumableStreams } from './streams/createResumableStreams.js'
import { createStreamLifetime } from './streams/createStreamLifetime.js'
import { isListFresh } from './streams/isListFresh.js'
import { watchPauses } from './watchPauses.js'
import { createTargetClient } from './targets/createTargetClient.js'
import { createTargetList } from './targets/createTargetList.js'

/** Length of the random id of one run of a router, in bytes. */
const INCARNATION_BYTES = 4

/** A running router. */
export interface Router {
  /** Address for callers, as host:port. */
  readonly address: string
  readonly ready: boolean
  /** Applies changed settings, except for addresses. */
  reload(settings: RouterSettings): void
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
  const incarnation = randomBytes(INCARNATION_BYTES).toString('hex')
  // Assigned below: components that broadcast to peers are created before the peers.
  const peers: { current?: Peers } = {}
  const configurationStore = createConfigurationStore()
  const targetList = createTargetList(
    constants.REJOIN_WINDOW_MS,
    () => settings.bounds.drainMs,
  )
  const livePeerCount = (): number => peers.current?.livePeers().length ?? 0
  const load = createFleetLoad(() => maxLoadAgeMs(livePeerCount() + 1))
  const stallDetector = createStallDetector(constants.STALL_TIMEOUT_MS)
  const cacheLocations = createCacheLocations(constants.MAX_CACHE_LOCATIONS)
  const fleetSize = createFleetSize(settings.router.id)
  const metrics = createRouterMetrics()
  const health = createTargetHealth(HEALTH_OPTIONS, (target, change) => {
    log.write(LogEvent.TargetHealth, { target: target.id, change })
  })

  const applyConfiguration = createConfigurationActivator(
    configurationStore,
    () => peers.current?.broadcast(),
    log,
  )

  const { configurations, targets } = createLogFollowers({
    ports,
    configurationStore,
    targetList,
    drainMs: settings.bounds.drainMs,
    peers: () => peers.current,
    applyConfiguration,
    log,
    now,
  })
  const state = createRouterState({
    configurationStore,
    targetList,
    targets,
    configurationPollAgeMs: () => configurations.lastPollAgeMs(),
    applyConfiguration,
  })
  const streams = createResumableStreams({
    targetList,
    startsFleet: settings.router.startsFleet,
    isListLoaded: () => targets.isLoaded(),
    isListFresh: () => isListFresh(targets.ageMs(), livePeerCount()),
    lifetimeMs: createStreamLifetime(() => configurationStore.current),
    now,
  })
  peers.current = await createPeers({
    settings,
    bounds: () => settings.bounds,
    incarnation,
    state,
    load,
    cacheLocations,
    fleetSize,
    streams,
    directory: ports.directory,
    logRestores: ports.logRestores,
    isStopping: () => stopping,
    log,
    now,
  })

  const isReady = (): boolean =>
    !stopping && configurationStore.current !== undefined && targets.isLoaded()
  const sharesCache = (service: string): boolean =>
    configurationStore.current?.services.get(service)?.sharesCache ?? false
  const cacheRecovery = createCacheRecovery({
    router: settings.router.id,
    inventory: ports.cacheInventory,
    cacheLocations,
    targets: () =>
      isReady()
        ? [...targetList.all()].filter(({ service }) => sharesCache(service))
        : undefined,
    peers: peers.current,
    log,
    now,
  })

  const stopWatchingPauses = watchPauses(now, () => {
    log.write(LogEvent.Paused, { version: configurationStore.version })
    targets.invalidate()
  })

  const retryBudgetFor = createRetryBudgets({
    bounds: () => retryBoundsOf(settings),
    routerCount: () => fleetSize.count(now()),
    startedAtMs: now(),
  })

  const client = createTargetClient({
    protocol: ports.targetProtocol,
    connectTimeoutMs: constants.CONNECT_TIMEOUT_MS,
    keepAliveTimeoutMs: constants.KEEP_ALIVE_TIMEOUT_MS,
  })
  const callers = await createCallerServer({
    address: settings.listen.callers,
    configurationStore,
    protocol: ports.callerProtocol,
    dispatcher: createDispatcher({
      load,
      selector: createTargetSelector({
        targetList,
        load,
        cacheLocations,
        streams,
        health,
        stallDetector,
        sharesCache,
        onNewPrompt: () => {
          peers.current?.scheduleBroadcast()
        },
        now,
      }),
      health,
      stallDetector,
      client,
      protocol: ports.targetProtocol,
      retryBudgetFor,
      recoveryMs: () => cacheRecovery.remainingMs(),
      log,
      metrics,
      now,
    }),
    streams,
    log,
    metrics,
    targetsAgeMs: () => targets.ageMs(),
    sourceOutageMs: () => configurations.outageMs(),
    now,
  })

  const readiness = await createReadinessServer(
    settings.listen.readiness,
    isReady,
  )
  const metricsServer = settings.listen.metrics
    ? await createMetricsServer(settings.listen.metrics, metrics)
    : undefined
  log.write(LogEvent.Started, {
    dataCentre: settings.router.dataCentre,
    callers: formatAddress(callers.address),
    incarnation,
  })

  async function waitForRequests(untilMs: number): Promise<void> {
    while (callers.inFlight > 0 && now() < untilMs)
      await sleep(constants.STOP_CHECK_MS)
  }

  async function stopOnce(): Promise<void> {
    stopping = true
    const startedAtMs = now()
    log.write(LogEvent.Stopping, { inFlight: callers.inFlight })
    callers.disableKeepAlive()
    peers.current?.broadcast()
    const gracePeriodMs = settings.bounds.gracePeriodS * 1_000
    const endMs = startedAtMs + gracePeriodMs - constants.STOP_MARGIN_MS
    await sleep(Math.min(constants.LOAD_BALANCER_DELAY_MS, gracePeriodMs / 2))
    callers.stopAccepting()
    await waitForRequests(endMs)
    log.write(LogEvent.Stopped, { brokenOff: callers.inFlight })
    callers.close()
    stopWatchingPauses()
    cacheRecovery.stop()
    configurations.stop()
    targets.stop()
    peers.current?.close()
    client.close()
    metricsServer?.close()
    await readiness.close()
  }

  let stopped: Promise<void> | undefined
  return {
    address: formatAddress(callers.address),
    get ready() {
      return isReady()
    },
    reload(changed) {
      settings = changed
      log.write(LogEvent.SettingsReloaded, {})
    },
    stop: () => (stopped ??= stopOnce()),
  }
}
