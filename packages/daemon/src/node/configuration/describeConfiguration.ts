import type { Heartbeat } from '../peers/heartbeat.js'
import type { ConfigurationTailer } from './createConfigurationTailer.js'

/**
 * Returns the configuration state that this router reports in its heartbeats.
 */
export function describeConfiguration(
  tailer: ConfigurationTailer,
): Heartbeat['configuration'] {
  const { digest, nextOffset, logId, problem } = tailer.state
  const readsLog = tailer.connected
  return { digest, nextOffset, logId, readsLog, problem: problem?.kind }
}
