import type { ConfigurationStore } from '../configuration/createConfigurationStore.js'
import type { RouterConfiguration } from '../configuration/routerConfiguration.js'
import type { TargetList } from '../targets/createTargetList.js'
import type { TargetsFollower } from '../targets/followTargets.js'
import type { RouterState } from './routerState.js'

/** Options for {@link createRouterState}. */
export interface RouterStateOptions {
  readonly configurationStore: ConfigurationStore
  readonly targetList: TargetList
  readonly targets: TargetsFollower
  /** Returns the milliseconds since this router itself polled configurations. */
  readonly configurationPollAgeMs: () => number
  /** Activates a configuration if it is newer. */
  readonly applyConfiguration: (
    configuration: RouterConfiguration,
    from: string,
  ) => void
}

/** Creates the state that a router shares with its peers. */
export function createRouterState(options: RouterStateOptions): RouterState {
  const { configurationStore, targetList, targets } = options
  return {
    configurationVersion: () => configurationStore.version,
    configurationPollAgeMs: options.configurationPollAgeMs,
    targetsFingerprint: () => targetList.fingerprint(),
    targetsPollAgeMs: () => targets.lastPollAgeMs(),
    targetsAgeMs: () => targets.ageMs(),
    configurationSince(version) {
      const newest = configurationStore.current?.configuration
      return newest && newest.version > version ? newest : undefined
    },
    targets: () => [...targetList.all()],
    targetIds: () => targetList.ids(),
    applyConfiguration: options.applyConfiguration,
    applyTargets(peerTargets, ageMs, from) {
      targets.applyPeerList(peerTargets, ageMs, from)
    },
    confirmTargets(ageMs) {
      targets.confirm(ageMs)
    },
  }
}
