import { createServiceAdmissions } from '../admission/createServiceAdmissions.js'
import type { ConfigurationStore } from '../configuration/createConfigurationStore.js'
import { CONNECT_TIMEOUT_MS, KEEP_ALIVE_TIMEOUT_MS } from '../constants.js'
import { coldBurstOf } from '../limits/coldBounds.js'
import { createRetryBudgets } from '../limits/createRetryBudgets.js'
import { retryBoundsOf } from '../limits/retryBoundsOf.js'
import type { DecisionLog } from '../logging/decisionLog.js'
import type { RouterMetrics } from '../metrics/routerMetrics.js'
import type { FleetSize } from '../peers/createFleetSize.js'
import { createPeerRelay } from '../peers/createPeerRelay.js'
import type { Peer } from '../peers/createPeerTable.js'
import type { SharedRecords } from '../peers/createSharedRecords.js'
import type { HarmfulTraits } from '../crashes/createHarmfulTraits.js'
import type { RoutingState } from '../routing/createRoutingState.js'
import { createTargetSelector } from '../routing/createTargetSelector.js'
import type { RouterSettings } from '../settings/settingsSchema.js'
import type { ResumableStreams } from '../streams/createResumableStreams.js'
import { createTargetClient } from '../targets/createTargetClient.js'
import {
  createTargetStatements,
  type TargetStatements,
} from '../targets/createTargetStatements.js'
import type { TargetProtocol } from '../targets/targetProtocol.js'
import { createExplainer, type Explainer } from '../explain/createExplainer.js'
import { createDispatcher, type Dispatcher } from './createDispatcher.js'

const MS_PER_S = 1_000

/** Options for {@link createCallPath}. */
export interface CallPathOptions {
  /** Returns the current settings, which a reload may change. */
  readonly settings: () => RouterSettings
  readonly protocol: TargetProtocol
  readonly routingState: RoutingState
  readonly streams: ResumableStreams
  readonly records: SharedRecords
  readonly fleetSize: FleetSize
  readonly configurationStore: ConfigurationStore
  /** Upper bound on the staleness of the target list, in milliseconds. */
  readonly targetsAgeMs: () => number
  /** Returns the peers that reach targets and know this router's configuration. */
  readonly peersWithTargets: () => readonly Peer[]
  readonly harmfulTraits: HarmfulTraits
  /** Whether a service's targets fetch cached prompts from each other. */
  readonly sharesCache: (service: string) => boolean
  /** Called when a prompt that no target cached was sent to one. */
  readonly onNewPrompt: () => void
  /** Returns the milliseconds until the cache locations of a starting router are complete; 0 once they are. */
  readonly recoveryMs: () => number
  readonly log: DecisionLog
  readonly metrics: RouterMetrics
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
  /** Time of day, in milliseconds since the epoch. */
  readonly timeOfDay: () => number
}

/** The path of a call to its targets. */
export interface CallPath {
  readonly dispatcher: Dispatcher
  readonly explain: Explainer
  readonly statements: TargetStatements
  /** Closes the connections to targets and peers. */
  close(): void
}

/** Creates the path of calls from their admission to the targets. */
export function createCallPath(options: CallPathOptions): CallPath {
  const { settings, protocol, routingState, fleetSize, metrics, now } = options
  const statements = createTargetStatements({
    ...options,
    targetList: routingState.targetList,
    coldTargets: routingState.coldTargets,
    coldBurstOf: (requestsPerS) => coldBurstOf(settings(), requestsPerS),
    router: settings().router.id,
    routers: () => fleetSize.routers(now()),
    inFlight: (targetId) =>
      routingState.load.own().get(targetId)?.requests ?? 0,
  })
  const { limits } = statements
  const client = createTargetClient({
    protocol,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    keepAliveTimeoutMs: KEEP_ALIVE_TIMEOUT_MS,
    onStatement: (target, statement) => {
      statements.observe(target, statement)
    },
    acceptsRequests: (target) => {
      metrics.recordTargetListAge(options.targetsAgeMs() / MS_PER_S)
      return statements.acceptsRequests(target)
    },
  })
  const peerRelay = createPeerRelay()
  const routerCount = (): number | undefined => fleetSize.count(now())
  const admissions = createServiceAdmissions({
    ...options,
    ...routingState,
    isEnabled: () => settings().overloadControl,
    routerCount,
  })
  const selector = createTargetSelector({ ...options, ...routingState, limits })
  const retryBudgetFor = createRetryBudgets({
    bounds: () => retryBoundsOf(settings()),
    routerCount,
    startedAtMs: now(),
  })
  return {
    statements,
    explain: createExplainer({
      ...options,
      router: settings().router.id,
      admissions,
      selector,
      retryBudgetFor,
    }),
    dispatcher: createDispatcher({
      ...options,
      ...routingState,
      admissions,
      client,
      limits,
      peerRelay,
      selector,
      retryBudgetFor,
    }),
    close() {
      client.close()
      peerRelay.close()
    },
  }
}
