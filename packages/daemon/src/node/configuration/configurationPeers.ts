import type { PeerStatus } from '../membership/createMembership.js'
import type { ConfigurationPeer } from './configurationPeer.js'

/** Returns what live peers say of their configuration. */
export function configurationPeers(
  peers: readonly PeerStatus[],
): ConfigurationPeer[] {
  const found: ConfigurationPeer[] = []
  for (const { id, address, heartbeat } of peers) {
    const { configuration, dataCentre, configurationVersion } = heartbeat
    if (!configuration) continue
    const { digest, nextOffset, logId, readsLog } = configuration
    const version = configurationVersion
    const place = { id, address, dataCentre }
    found.push({ ...place, version, digest, nextOffset, logId, readsLog })
  }
  return found
}
