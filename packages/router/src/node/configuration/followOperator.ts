import type { DecisionLog } from '../logging/decisionLog.js'
import {
  createSourceFollower,
  type SourceFollower,
} from '../sources/createSourceFollower.js'
import type { LogRestores } from '../sources/createLogRestores.js'
import { createSourceLogger } from '../sources/createSourceLogger.js'
import type { KeyedSource } from '../sources/keyedSource.js'
import type { Evacuations } from '../targets/createEvacuations.js'
import type { OperatorEntry } from './operatorEntry.js'
import type { RouterConfiguration } from './routerConfiguration.js'

/** Options for {@link followOperator}. */
export interface FollowOperatorOptions {
  readonly source: KeyedSource<OperatorEntry>
  readonly logRestores: LogRestores
  /** Whether a peer has polled the source recently enough for this router. */
  readonly hasFreshReader: () => boolean
  /** Returns the milliseconds between two polls while the source is unavailable. */
  readonly outageRetryMs: () => number
  /** Activates a configuration if it is newer; `from` names where it came from. */
  readonly applyIfNewer: (
    configuration: RouterConfiguration,
    from: string,
  ) => void
  readonly evacuations: Evacuations
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
  /** Whether the process has paused since a time on that clock. */
  readonly hasPausedSince: (sinceMs: number) => boolean
  readonly log: DecisionLog
}

/** Starts polling the source for configurations and evacuations of the operator. */
export function followOperator(options: FollowOperatorOptions): SourceFollower {
  const { source, logRestores, hasFreshReader, applyIfNewer, now, log } =
    options
  const { evacuations } = options
  const sourceLogger = createSourceLogger(log, 'configurations')
  return createSourceFollower({
    source,
    logRestores,
    // A poll waits at the source until there is a change.
    pollIntervalMs: 0,
    now,
    hasPausedSince: options.hasPausedSince,
    hasFreshReader,
    outageRetryMs: options.outageRetryMs,
    onListing: (values, offset) => {
      const evacuated: string[] = []
      for (const entry of values.values()) {
        if ('configuration' in entry)
          applyIfNewer(entry.configuration, 'listing')
        else if (entry.evacuation.isEvacuated)
          evacuated.push(entry.evacuation.dataCentre)
      }
      evacuations.observeListing(evacuated, offset)
    },
    onEntry: ({ value }, offset) => {
      if (!value) return
      if ('configuration' in value) {
        applyIfNewer(value.configuration, 'log')
        return
      }
      const { dataCentre, isEvacuated } = value.evacuation
      evacuations.observe(dataCentre, isEvacuated, offset)
    },
    onRead: () => {
      evacuations.refresh()
    },
    onUnavailable: sourceLogger.logUnavailable,
    onRecovered: sourceLogger.logRecovered,
  })
}
