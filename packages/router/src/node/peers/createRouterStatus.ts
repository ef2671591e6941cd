import type { Reachability } from '../health/createReachability.js'
import type { LogRestores } from '../sources/createLogRestores.js'
import type { SharedRecords } from './createSharedRecords.js'
import { finiteOrNull } from './finiteOrNull.js'
import type { PeerDigest } from './peerDigest.js'
import type { RouterState } from './routerState.js'

/** Options for {@link createRouterStatus}. */
export interface RouterStatusOptions {
  readonly router: string
  readonly incarnation: string
  readonly state: RouterState
  readonly records: SharedRecords
  readonly reachability: Reachability
  readonly logRestores: LogRestores
  readonly isStopping: () => boolean
}

/** What a router says of itself in each of its digests. */
export type RouterStatus = Omit<
  PeerDigest,
  'work' | 'placed' | 'streams' | 'records' | 'link' | 'reports' | 'polls'
>

/** Creates a function that returns a router's next status; it gets the router's port for peers. */
export function createRouterStatus(
  options: RouterStatusOptions,
): (port: number) => RouterStatus {
  const { router, incarnation, state, records, reachability } = options
  let sequence = 0

  return (port) => {
    sequence += 1
    return {
      router,
      incarnation,
      sequence,
      port,
      configurationVersion: state.configurationVersion(),
      configurationReadMs: finiteOrNull(state.configurationPollAgeMs()),
      targetsFingerprint: state.targetsFingerprint(),
      targetsReadMs: finiteOrNull(state.targetsPollAgeMs()),
      targetsAgeMs: finiteOrNull(state.targetsAgeMs()),
      stopping: options.isStopping(),
      logRestores: options.logRestores.count ?? null,
      recordsFingerprint: records.fingerprint(),
      targetResponseMs: finiteOrNull(reachability.responseAgeMs()),
    }
  }
}
