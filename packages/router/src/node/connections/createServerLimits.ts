import {
  connectionBoundsOf,
  type ConnectionSettings,
  type ServerKind,
} from './connectionBoundsOf.js'
import {
  type CloseReporterOptions,
  createCloseReporter,
} from './createCloseReporter.js'
import type { ConnectionLimitsOptions } from './limitConnections.js'
import { readProcessLimits } from './readProcessLimits.js'
import type { RouterSettings } from '../settings/settingsSchema.js'

/** Returns the limits of a server; settings replace what follows from the limits of the process. */
export type ServerLimits = (
  kind: ServerKind,
  settings?: ConnectionSettings,
) => ConnectionLimitsOptions

/** Options for {@link createServerLimits}. */
export interface ServerLimitsOptions extends CloseReporterOptions {
  readonly settings: Pick<RouterSettings, 'limits'>
}

/** Creates the limits of the servers of this process. */
export function createServerLimits(options: ServerLimitsOptions): ServerLimits {
  const processLimits = readProcessLimits(options.settings.limits)
  const reportClosed = createCloseReporter(options)
  return (kind, settings) => ({
    bounds: connectionBoundsOf(kind, processLimits, settings),
    onClosed: (reason, client) => {
      reportClosed(kind, reason, client)
    },
    now: options.now,
  })
}
