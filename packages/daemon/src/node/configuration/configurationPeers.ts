import type { PeerStatus } from '../membership/createMembership.js'
import type { ConfigurationPeer } from './configurationPeer.js'

/** Returns the configuration state that live peers report. */
export function configurationPeers(
  peers: readonly PeerStatus[],
): ConfigurationPeer[] {
  const found: ConfigurationPeer[] = []
  for (const { id, address, heartbeat } of peers) {
    const { configuration, dataCentre, configurationVersion } = heartbeat
    if (!configuration) continue
    const { digest, nextOffset, logId, readsLog } = configuration
    const version = configurationVersion
    const identity = { id, address, dataCentre }
    found.push({ ...identity, version, digest, nextOffset, logId, readsLog })
  }
  return found
}
