import type { RouterConfiguration } from '../configuration/routerConfiguration.js'
import type { Target } from '../targets/target.js'

/** What a router knows of configuration and targets, to be shared with peers. */
export interface RouterState {
  configurationVersion(): number
  /** Milliseconds since this router itself read configurations. */
  configurationPollAgeMs(): number
  targetsFingerprint(): number
  /** Milliseconds since this router itself read the list of targets. */
  targetsPollAgeMs(): number
  /** Milliseconds up to which this router surely has all changes of the list. */
  targetsAgeMs(): number
  /** Returns the configuration in force if it is newer than `version`. */
  configurationSince(version: number): RouterConfiguration | undefined
  targets(): readonly Target[]
  /** Ids of all targets in order; the same wherever the fingerprint is. */
  targetIds(): readonly string[]
  applyConfiguration(configuration: RouterConfiguration, from: string): void
  applyTargets(targets: readonly Target[], ageMs: number): void
  /** Notes that a peer had the same list of targets `ageMs` ago. */
  confirmTargets(ageMs: number): void
}
