import type { ConsolaInstance } from 'consola'
import type { ConfigurationTailer } from '../configuration/createConfigurationTailer.js'
import type { LogClient } from '../logService/logClient.js'
import type { Membership } from '../membership/createMembership.js'
import type { Heartbeat } from '../peers/heartbeat.js'
import type { Routing } from '../routing/routing.js'
import type { Certificates } from '../security/createCertificates.js'
import type { ResolvedSettings } from '../settings/settingsSchema.js'

/** Options for `createAdminServer`. */
export interface AdminServerOptions {
  readonly settings: ResolvedSettings
  readonly log: LogClient
  readonly tailer: ConfigurationTailer
  readonly membership: Membership
  readonly routing: Routing
  /** Returns the heartbeat that this router sends to its peers. */
  readonly self: () => Heartbeat
  readonly logger: ConsolaInstance
  readonly certificates: Certificates
}
