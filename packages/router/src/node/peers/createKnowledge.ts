import type { ConfigurationKeeper } from '../configuration/createConfigurationKeeper.js'
import type { RouterConfiguration } from '../configuration/routerConfiguration.js'
import type { TargetView } from '../targets/createTargetView.js'
import type { TargetsFollower } from '../targets/followTargets.js'
import type { RouterKnowledge } from './routerKnowledge.js'

/** Where a router's knowledge stands. */
export interface KnowledgeOptions {
  readonly keeper: ConfigurationKeeper
  readonly view: TargetView
  readonly targets: TargetsFollower
  /** Milliseconds since this router itself read configurations. */
  readonly configurationReadMs: () => number
  /** Puts a configuration in force if it is newer. */
  readonly offer: (configuration: RouterConfiguration, from: string) => void
}

/** Creates the view that peers have of a router's knowledge. */
export function createKnowledge(options: KnowledgeOptions): RouterKnowledge {
  const { keeper, view, targets } = options
  return {
    configurationVersion: () => keeper.version,
    configurationReadMs: options.configurationReadMs,
    targetsFingerprint: () => view.fingerprint(),
    targetsReadMs: () => targets.readMs(),
    targetsAgeMs: () => targets.ageMs(),
    configurationSince(version) {
      const newest = keeper.current?.configuration
      return newest && newest.version > version ? newest : undefined
    },
    targets: () => [...view.all()],
    targetIds: () => view.ids(),
    takeConfiguration: options.offer,
    takeTargets(borrowed, ageMs) {
      targets.borrow(borrowed, ageMs)
    },
    confirmTargets(ageMs) {
      targets.confirm(ageMs)
    },
  }
}
