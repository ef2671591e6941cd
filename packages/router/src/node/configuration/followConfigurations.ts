import type { DecisionLog } from '../logging/decisionLog.js'
import {
  createSourceFollower,
  type SourceFollower,
} from '../sources/createSourceFollower.js'
import { createSourceLogger } from '../sources/createSourceLogger.js'
import type { KeyedSource } from '../sources/keyedSource.js'
import type { RouterConfiguration } from './routerConfiguration.js'

/** What the follower of configurations works with. */
export interface FollowConfigurationsOptions {
  readonly source: KeyedSource<RouterConfiguration>
  /** Whether a peer reads configurations for this router. */
  readonly hasFreshReader: () => boolean
  /** Puts a configuration in force if it is newer. */
  readonly applyIfNewer: (
    configuration: RouterConfiguration,
    from: string,
  ) => void
  /** Steady clock, in milliseconds. */
  readonly now: () => number
  readonly log: DecisionLog
}

/** Starts to follow the operator's configurations. */
export function followConfigurations(
  options: FollowConfigurationsOptions,
): SourceFollower {
  const {
    source,
    hasFreshReader: hasFreshReader: isCovered,
    applyIfNewer: offer,
    now,
    log,
  } = options
  const lines = createSourceLogger(log, 'configurations')
  return createSourceFollower({
    source,
    // A reading waits at the source until there is something new.
    pollIntervalMs: 0,
    now,
    hasFreshReader: isCovered,
    onListing: (values) => {
      for (const configuration of values.values())
        offer(configuration, 'listing')
    },
    onEntry: ({ value }) => {
      if (value) offer(value, 'log')
    },
    onUnavailable: lines.logUnavailable,
    onRecovered: lines.logRecovered,
  })
}
