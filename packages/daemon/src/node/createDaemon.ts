import { randomUUID } from 'node:crypto'
import { performance } from 'node:perf_hooks'
import { formatAddress } from '@auburnbay/http-utils'
import { createAdminServer } from './admin/createAdminServer.js'
import { createFleetAdmission } from './admission/createFleetAdmission.js'
import { createWaitingRouting } from './admission/createWaitingRouting.js'
import { createCallerServer } from './callers/createCallerServer.js'
import { createDispatcher } from './callers/createDispatcher.js'
import { createClaims } from './claims/createClaims.js'
import { configurationPeers } from './configuration/configurationPeers.js'
import { createConfigurationTailer } from './configuration/createConfigurationTailer.js'
import { describeConfiguration } from './configuration/describeConfiguration.js'
import type { Daemon, DaemonOptions } from './daemon.js'
import { createTargetHealth } from './health/createTargetHealth.js'
import { createHealthTrackingClient } from './health/createHealthTrackingClient.js'
import { createRetries } from './limits/createRetries.js'
import { createLogClient } from './logService/createLogClient.js'
import { createLogs } from './logging/createLogs.js'
import { createIncarnation } from './membership/createIncarnation.js'
import { createMembership } from './membership/createMembership.js'
import { createVmListPoller } from './membership/createVmListPoller.js'
import { createNetwork } from './security/createNetwork.js'
import { createMetricsReporter } from './metrics/createMetricsReporter.js'
import { createMetrics } from './metrics/createMetrics.js'
import { createOrders } from './orders/createOrders.js'
import { createPeerServer } from './peers/createPeerServer.js'
import type { Heartbeat } from './peers/heartbeat.js'
import type { PeerHandlers } from './peers/peerApi.js'
import { chatKey } from './routing/chatKey.js'
import { createRouting } from './routing/createRouting.js'
import type { ResolvedSettings } from './settings/settingsSchema.js'
import { createCacheEventReader } from './targets/createCacheEventReader.js'
import { stopCallers } from './stopping/stopCallers.js'
import type { StopOutcome } from './stopping/stopOutcome.js'
import { stopComponents } from './stopping/stopComponents.js'
import { createLoadPoller } from './targets/createLoadPoller.js'
import { createTargetClient } from './targets/createTargetClient.js'
import { createTracing } from './tracing/createTracing.js'

/** Starts a router; rejects when a listen address is in use. */
export async function createDaemon(
  settings: ResolvedSettings,
  options: DaemonOptions = {},
): Promise<Daemon> {
  const logs = createLogs(settings.logs)
  const logger = logs.forComponent('daemon')
  const metrics = createMetrics(settings)
  const tracing = createTracing(settings, options.spanProcessors)
  const now = (): number => performance.now()
  const incarnation = createIncarnation(Date.now(), randomUUID())
  let stopping = false
  let stopped: Promise<StopOutcome> | undefined

  const network = createNetwork(settings, logs.forComponent('network'))
  const { agents, certificates, peerClient } = network
  const log = createLogClient(settings.logService.url, agents)
  const tailer = createConfigurationTailer({
    log,
    logger: logs.forComponent('configuration'),
    metrics,
    router: settings.router,
    retentionMs: settings.logService.retentionMs,
    peers: () => configurationPeers(membership.livePeers()),
    fetch: (address, req) => peerClient.configurationSince(address, req),
    epochNow: Date.now,
  })
  const configuration = () => tailer.state.configuration
  const vmList = createVmListPoller({
    settings: settings.vmList,
    logger: logs.forComponent('membership'),
    metrics,
    now,
    agent: agents.vmList,
  })
  const vms = () => vmList.vms

  const health = createTargetHealth({
    settings: settings.health,
    configuration,
    metrics,
    logger: logs.forComponent('health'),
    now,
  })
  const isEligible = (targetId: string, idempotent: boolean) =>
    health.isEligible(targetId, idempotent)
  const routing = createRouting({
    settings,
    incarnation,
    configuration,
    vms,
    membership: () => membership,
    client: peerClient,
    loadPoller: () => loadPoller,
    cacheEvents: () => cacheEvents,
    eligible: isEligible,
    metrics,
    now,
  })
  const loadPoller = createLoadPoller(
    (includeIdle) => routing.coordinatedTargets(includeIdle),
    settings.targets.reportMs,
    now,
    agents.loads,
  )
  const cacheEvents = createCacheEventReader({
    targets: (includeIdle) => routing.coordinatedTargets(includeIdle),
    intervalMs: settings.targets.reportMs,
    maxChats: settings.routing.indexedChats,
    keyOf: chatKey,
    agent: agents.cacheEvents,
  })
  const admission = createFleetAdmission({
    settings,
    configuration,
    vms,
    membership: () => membership,
    eligible: (targetId) => isEligible(targetId, true),
    metrics,
    now,
    epochNow: Date.now,
  })

  const self = (): Heartbeat => ({
    router: settings.router.id,
    incarnation,
    dataCentre: settings.router.dataCentre,
    configurationVersion: tailer.state.version,
    configuration: describeConfiguration(tailer),
    leaving: vmList.departureAges(),
    stopping,
    digest: {
      targets: routing.ownInFlight(),
      customers: admission.inFlightByCustomer(),
      ...admission.ratesByCustomer(),
    },
  })
  const membership = createMembership({
    settings,
    client: peerClient,
    vms,
    onReportedDepartures: vmList.applyReportedDepartures,
    logger: logs.forComponent('membership'),
    self,
    now,
  })
  const orders = createOrders({
    settings,
    incarnation,
    log,
    tailer,
    vmList,
    peers: () => membership.livePeers(),
    ownInFlight: () => routing.ownInFlight(),
    now,
    logger: logs.forComponent('orders'),
  })
  const handlers: PeerHandlers = {
    handleHeartbeat: (heartbeat) => {
      membership.recordHeartbeat(heartbeat)
      return self()
    },
    handleTransferRequest: (req) => tailer.createTransfer(req),
    handleGrantRequest: (req) => routing.handleGrantRequest(req),
    handleCollectRequest: (req) => routing.handleCollectRequest(req),
  }
  const peerServer = await createPeerServer(settings, handlers, network)

  const targets = createHealthTrackingClient(
    createTargetClient(settings.targets, agents.secureTargetAgent),
    health,
  )
  const claims = createClaims({
    settings: settings.claims,
    log,
    logger: logs.forComponent('claims'),
    epochNow: Date.now,
  })
  const dispatcher = createDispatcher({
    admission,
    claims,
    routing: createWaitingRouting({
      routing,
      admission,
      configuration,
      maxWaitMs: settings.queue.maxWaitMs,
      epochNow: Date.now,
    }),
    targets,
    tracing,
    retries: createRetries(settings.retries, metrics, Date.now),
    metrics,
  })
  const callers = await createCallerServer({
    settings,
    configuration,
    isReady: () => !stopping && tailer.state.version > 0,
    dispatcher,
    tracing,
    metrics,
    logger: logs.forComponent('callers'),
    certificates,
  })
  const admin = await createAdminServer({
    settings,
    log,
    tailer,
    membership,
    routing,
    self,
    logger: logs.forComponent('admin'),
    certificates,
  })
  const metricsReporter = createMetricsReporter({
    settings,
    metrics,
    traffic: network.traffic,
    routing,
    tailer,
    membership,
  })
  const addresses = {
    callers: callers.address,
    peers: peerServer.address,
    admin: admin.address,
  }
  logger.info(`Listening for callers on ${formatAddress(callers.address)}.`)

  async function stopOnce(): Promise<StopOutcome> {
    stopping = true
    logger.info('Stopping; the readiness check fails from now on.')
    const outcome = await stopCallers(callers, settings.stopping, logger)
    const readers = [loadPoller, cacheEvents, vmList, tailer, claims]
    const tasks = [routing, membership, admission, orders, metricsReporter]
    const servers = [admin, peerServer, certificates]
    const components = [...readers, ...tasks, ...servers]
    await stopComponents(components, [tracing, metrics])
    targets.close()
    peerClient.close()
    logger.info('Stopped.')
    return outcome
  }

  function stop(): Promise<StopOutcome> {
    stopped ??= stopOnce()
    return stopped
  }

  const { reload } = certificates
  return { addresses, load: admission, stop, reloadCertificates: reload }
}
