import type { RouterConfiguration } from '../configuration/routerConfiguration.js'
import type { Target } from '../targets/target.js'

/** Configuration and targets of a router, as it shares them with its peers. */
export interface RouterState {
  configurationVersion(): number
  /** Milliseconds since this router itself polled configurations. */
  configurationPollAgeMs(): number
  targetsFingerprint(): number
  /** Milliseconds since this router itself polled the target list. */
  targetsPollAgeMs(): number
  /** Upper bound on the staleness of the target list, in milliseconds. */
  targetsAgeMs(): number
  /** Returns the active configuration if it is newer than `version`. */
  configurationSince(version: number): RouterConfiguration | undefined
  targets(): readonly Target[]
  /** Returns the sorted ids of all targets; routers with the same fingerprint have the same ids. */
  targetIds(): readonly string[]
  /** Activates a configuration of the peer `from` if it is newer. */
  applyConfiguration(configuration: RouterConfiguration, from: string): void
  /** Applies the target list that the peer `from` had `ageMs` ago. */
  applyTargets(targets: readonly Target[], ageMs: number, from: string): void
  /** Records that a peer had the same target list `ageMs` ago. */
  confirmTargets(ageMs: number): void
}
