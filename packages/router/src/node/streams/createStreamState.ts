import type { ConfigurationStore } from '../configuration/createConfigurationStore.js'
import type { DecisionLog } from '../logging/decisionLog.js'
import type { RouterPorts } from '../routerPorts.js'
import type { TargetList } from '../targets/createTargetList.js'
import type { TargetsFollower } from '../targets/followTargets.js'
import { createResumableServices } from './createResumableServices.js'
import {
  createResumableStreams,
  type ResumableStreams,
} from './createResumableStreams.js'
import { createStreamLifetime } from './createStreamLifetime.js'
import {
  createVersionStorage,
  type VersionStorage,
} from './createVersionStorage.js'
import { isListFresh } from './isListFresh.js'

/** Options for {@link createStreamState}. */
export interface StreamStateOptions {
  readonly ports: Pick<
    RouterPorts,
    'streamVersions' | 'streamLog' | 'logRestores'
  >
  readonly targetList: TargetList
  readonly targets: TargetsFollower
  readonly configurationStore: ConfigurationStore
  /** Whether the whole fleet starts for the first time. */
  readonly startsFleet: boolean
  /** Whether this router writes to the log for the fleet. */
  readonly isWriter: () => boolean
  readonly log: DecisionLog
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** What a router knows of the streams that callers may resume, and its part that outlives it. */
export interface StreamState {
  readonly streams: ResumableStreams
  readonly storage: VersionStorage
}

/** Creates the state and starts to store it. */
export function createStreamState(options: StreamStateOptions): StreamState {
  const { ports, targets, configurationStore, log } = options
  const configuration = () => configurationStore.current
  const resumableServices = createResumableServices(configuration)
  const isFresh = (): boolean => isListFresh(targets.ageMs())
  const streams = createResumableStreams({
    ...options,
    isListLoaded: () => targets.isLoaded(),
    isListFresh: isFresh,
    lifetimeMs: createStreamLifetime(configuration),
  })
  const storage = createVersionStorage({
    ...ports,
    store: ports.streamVersions,
    streams,
    services: () => (targets.isLoaded() ? resumableServices() : []),
    isWriter: () => isFresh() && options.isWriter(),
    log,
  })
  return { streams, storage }
}
