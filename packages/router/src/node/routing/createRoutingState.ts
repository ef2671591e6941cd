import * as constants from '../constants.js'
import { HEALTH_OPTIONS } from '../health/constants.js'
import {
  createStallDetector,
  type StallDetector,
} from '../health/createStallDetector.js'
import {
  createTargetHealth,
  type TargetHealth,
} from '../health/createTargetHealth.js'
import {
  watchReachability,
  type WatchedReachability,
} from '../health/watchReachability.js'
import type { ColdStart } from '../configuration/service.js'
import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { SharedRecords } from '../peers/createSharedRecords.js'
import type { LogRestores } from '../sources/createLogRestores.js'
import {
  type ColdTargets,
  createColdTargets,
} from '../targets/createColdTargets.js'
import {
  createEvacuations,
  type Evacuations,
} from '../targets/createEvacuations.js'
import {
  createTargetList,
  type TargetList,
} from '../targets/createTargetList.js'
import {
  type CacheLocations,
  createCacheLocations,
} from './createCacheLocations.js'
import { createFleetLoad, type FleetLoad } from './createFleetLoad.js'

/** Options for {@link createRoutingState}. */
export interface RoutingStateOptions {
  /** Returns the milliseconds for which a leaving target may still get requests. */
  readonly drainMs: () => number
  /** Returns the milliseconds after which a peer's report of load is ignored. */
  readonly maxLoadAgeMs: () => number
  /** Called when this router loses or regains its connections to targets. */
  readonly onReachabilityChange: () => void
  /** Returns what the operator says of cold targets of a service. */
  readonly coldStartOf: (service: string) => ColdStart | undefined
  readonly records: SharedRecords
  readonly logRestores: LogRestores
  readonly log: DecisionLog
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** What a router knows of the targets. */
export interface RoutingState {
  readonly targetList: TargetList
  readonly coldTargets: ColdTargets
  readonly evacuations: Evacuations
  readonly load: FleetLoad
  readonly stallDetector: StallDetector
  readonly cacheLocations: CacheLocations
  readonly health: TargetHealth
  readonly reachability: WatchedReachability
}

/** Creates the state of a router that knows no targets. */
export function createRoutingState(options: RoutingStateOptions): RoutingState {
  const { drainMs, log, now } = options
  const coldTargets = createColdTargets(options)
  const evacuations = createEvacuations({
    ...options,
    onChange: (dataCentre, isEvacuated) => {
      targetList.updateEvacuated()
      // The operator may restart the targets of an evacuated data centre.
      if (isEvacuated) return
      for (const target of targetList.all())
        if (target.dataCentre === dataCentre)
          coldTargets.recordPossibleStart(target)
    },
  })
  const targetList = createTargetList(
    constants.REJOIN_WINDOW_MS,
    drainMs,
    (dataCentre) => evacuations.isEvacuated(dataCentre),
  )
  const stallDetector = createStallDetector(constants.STALL_TIMEOUT_MS)
  return {
    targetList,
    coldTargets,
    evacuations,
    load: createFleetLoad(options.maxLoadAgeMs),
    stallDetector,
    reachability: watchReachability({
      targets: () => targetList.all(),
      silentMs: () => stallDetector.silentMs(now()),
      onChange: (isCutOff) => {
        log.write(
          isCutOff ? LogEvent.TargetsUnreachable : LogEvent.TargetsReachable,
          {},
        )
        options.onReachabilityChange()
      },
      now,
    }),
    cacheLocations: createCacheLocations(constants.MAX_CACHE_LOCATIONS),
    health: createTargetHealth(HEALTH_OPTIONS, (target, change) => {
      log.write(LogEvent.TargetHealth, { target: target.id, change })
    }),
  }
}
