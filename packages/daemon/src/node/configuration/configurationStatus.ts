import type { ConfigurationProblem } from '@auburnbay/core'
import type { Membership } from '../membership/createMembership.js'
import type { ResolvedSettings } from '../settings/settingsSchema.js'
import type { ConfigurationTailer } from './createConfigurationTailer.js'

/** The version of one router. */
export interface RouterVersion {
  readonly router: string
  readonly version: number
  readonly digest?: string
  readonly nextOffset?: number
  readonly readsLog?: boolean
  /** Kind of the fault for which the router keeps its version. */
  readonly problem?: string
}

/** The versions of all routers that this router hears. */
export interface ConfigurationStatus {
  readonly version: number
  readonly problem?: ConfigurationProblem
  readonly routers: readonly RouterVersion[]
}

/** Returns the version of this router and of its live peers. */
export function configurationStatus(
  settings: ResolvedSettings,
  tailer: ConfigurationTailer,
  membership: Membership,
): ConfigurationStatus {
  const { version, digest, nextOffset, problem } = tailer.state
  const own: RouterVersion = {
    router: settings.router.id,
    version,
    digest,
    nextOffset,
    readsLog: tailer.connected,
    problem: problem?.kind,
  }
  const routers = membership.livePeers().map(({ id, heartbeat }) => ({
    router: id,
    version: heartbeat.configurationVersion,
    digest: heartbeat.configuration?.digest,
    nextOffset: heartbeat.configuration?.nextOffset,
    readsLog: heartbeat.configuration?.readsLog,
    problem: heartbeat.configuration?.problem,
  }))
  return { version, problem, routers: [own, ...routers] }
}
