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
import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import { maxLoadAgeMs } from '../peers/maxLoadAgeMs.js'
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
  readonly livePeerCount: () => number
  readonly log: DecisionLog
}

/** What a router knows of the targets. */
export interface RoutingState {
  readonly targetList: TargetList
  readonly load: FleetLoad
  readonly stallDetector: StallDetector
  readonly cacheLocations: CacheLocations
  readonly health: TargetHealth
}

/** Creates the state of a router that knows no targets. */
export function createRoutingState(options: RoutingStateOptions): RoutingState {
  const { drainMs, livePeerCount, log } = options
  return {
    targetList: createTargetList(constants.REJOIN_WINDOW_MS, drainMs),
    load: createFleetLoad(() => maxLoadAgeMs(livePeerCount() + 1)),
    stallDetector: createStallDetector(constants.STALL_TIMEOUT_MS),
    cacheLocations: createCacheLocations(constants.MAX_CACHE_LOCATIONS),
    health: createTargetHealth(HEALTH_OPTIONS, (target, change) => {
      log.write(LogEvent.TargetHealth, { target: target.id, change })
    }),
  }
}
