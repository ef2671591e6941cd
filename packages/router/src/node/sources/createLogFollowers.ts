import type { ConfigurationStore } from '../configuration/createConfigurationStore.js'
import { followOperator } from '../configuration/followOperator.js'
import type { RouterConfiguration } from '../configuration/routerConfiguration.js'
import { POLLS_PER_DRAIN } from '../constants.js'
import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { Peers } from '../peers/createPeers.js'
import type { RouterPorts } from '../routerPorts.js'
import type { ColdTargets } from '../targets/createColdTargets.js'
import type { Evacuations } from '../targets/createEvacuations.js'
import type { TargetList } from '../targets/createTargetList.js'
import {
  followTargets,
  type TargetsFollower,
} from '../targets/followTargets.js'
import { maxListAgeMs } from '../targets/maxListAgeMs.js'
import { PolledSource } from '../dissemination/createPollers.js'
import type { SourceFollower } from './createSourceFollower.js'
import { outageRetryMs, RETRY_MS } from './outageRetryMs.js'

/** Options for {@link createLogFollowers}. */
export interface LogFollowersOptions {
  readonly router: string
  readonly ports: RouterPorts
  readonly configurationStore: ConfigurationStore
  readonly targetList: TargetList
  readonly coldTargets: ColdTargets
  readonly evacuations: Evacuations
  /** Milliseconds for which a target that leaves may still get requests. */
  readonly drainMs: number
  /** Returns the exchange with peers; undefined while it starts. */
  readonly peers: () => Peers | undefined
  /** Activates a configuration if it is newer; `from` names where it came from. */
  readonly applyConfiguration: (
    configuration: RouterConfiguration,
    from: string,
  ) => void
  readonly log: DecisionLog
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
  /** Whether the process has paused since a time on that clock. */
  readonly hasPausedSince: (sinceMs: number) => boolean
}

/** Followers of the platform's log. */
export interface LogFollowers {
  readonly configurations: SourceFollower
  readonly targets: TargetsFollower
}

/** Starts to follow configurations and targets, which one router of the fleet polls for all. */
export function createLogFollowers(options: LogFollowersOptions): LogFollowers {
  const { ports, configurationStore, targetList, peers, log } = options
  const { now, hasPausedSince } = options
  const { logRestores } = ports

  /** Returns the milliseconds until the next poll of an unavailable log. */
  function retryMs(
    source: PolledSource,
    isLoaded: boolean,
    isCovered: boolean,
  ): number {
    const known = isLoaded ? peers()?.outagePeers(source) : undefined
    return known ? outageRetryMs({ ...known, isCovered }) : RETRY_MS
  }

  const maxTargetsAgeMs = maxListAgeMs(options.router, options.drainMs)

  logRestores.onRestore((restores) => {
    log.write(LogEvent.LogRestored, { restores })
  })
  const configurations = followOperator({
    source: ports.operator,
    logRestores,
    hasFreshReader: () => peers()?.hasFreshConfigurationReader() ?? false,
    // A router that knows no configuration yet tries as often as it may.
    outageRetryMs: () =>
      retryMs(
        PolledSource.Configurations,
        configurationStore.current !== undefined,
        true,
      ),
    applyIfNewer: options.applyConfiguration,
    evacuations: options.evacuations,
    now,
    hasPausedSince,
    log,
  })
  const targets: TargetsFollower = followTargets({
    source: ports.targets,
    logRestores,
    targetList,
    coldTargets: options.coldTargets,
    pollIntervalMs: options.drainMs / POLLS_PER_DRAIN,
    maxAgeMs: () => maxTargetsAgeMs,
    hasFreshReader: () => peers()?.hasFreshTargetReader() ?? false,
    outageRetryMs: () =>
      retryMs(
        PolledSource.Targets,
        targets.isLoaded(),
        targets.ageMs() <= maxTargetsAgeMs,
      ),
    onChange: () => {
      peers()?.broadcast()
    },
    now,
    hasPausedSince,
    log,
  })
  return { configurations, targets }
}
