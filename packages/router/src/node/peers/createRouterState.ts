import type { ConfigurationStore } from '../configuration/createConfigurationStore.js'
import type { RouterConfiguration } from '../configuration/routerConfiguration.js'
import type { TargetList } from '../targets/createTargetList.js'
import type { TargetsFollower } from '../targets/followTargets.js'
import type { RouterState } from './routerState.js'

/** Where a router's knowledge stands. */
export interface RouterStateOptions {
  readonly activeConfiguration: ConfigurationStore
  readonly targetList: TargetList
  readonly targets: TargetsFollower
  /** Milliseconds since this router itself read configurations. */
  readonly configurationPollAgeMs: () => number
  /** Puts a configuration in force if it is newer. */
  readonly applyConfiguration: (
    configuration: RouterConfiguration,
    from: string,
  ) => void
}

/** Creates the view that peers have of a router's knowledge. */
export function createRouterState(options: RouterStateOptions): RouterState {
  const { activeConfiguration: keeper, targetList: view, targets } = options
  return {
    configurationVersion: () => keeper.version,
    configurationPollAgeMs: options.configurationPollAgeMs,
    targetsFingerprint: () => view.fingerprint(),
    targetsPollAgeMs: () => targets.lastPollAgeMs(),
    targetsAgeMs: () => targets.ageMs(),
    configurationSince(version) {
      const newest = keeper.current?.configuration
      return newest && newest.version > version ? newest : undefined
    },
    targets: () => [...view.all()],
    targetIds: () => view.ids(),
    applyConfiguration: options.applyConfiguration,
    applyTargets(borrowed, ageMs) {
      targets.applyPeerList(borrowed, ageMs)
    },
    confirmTargets(ageMs) {
      targets.confirm(ageMs)
    },
  }
}
