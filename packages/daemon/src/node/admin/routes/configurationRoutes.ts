import { redactHashes, Role } from '@auburnbay/core'
import type { AdminParts } from '../adminParts.js'
import { reply } from '../adminReplies.js'
import { moveConfiguration } from '../moveConfiguration.js'
import type { AdminRoute } from '../adminRoute.js'

/** Paths that show the version in force here and on the other routers. */
export function createConfigurationRoutes(parts: AdminParts): AdminRoute[] {
  const { log, tailer, membership, self } = parts
  return [
    {
      method: 'GET',
      path: '/config',
      role: Role.Viewer,
      handle: () => {
        const { version, configuration } = tailer.state
        return reply({ version, configuration: redactHashes(configuration) })
      },
    },
    {
      method: 'GET',
      path: '/config/status',
      role: Role.Viewer,
      handle: () => {
        const { version } = tailer.state
        const heartbeats = [
          self(),
          ...membership.livePeers().map((peer) => peer.heartbeat),
        ]
        const routers = heartbeats.map((heartbeat) => ({
          id: heartbeat.router,
          dataCentre: heartbeat.dataCentre,
          version: heartbeat.configurationVersion,
          ...heartbeat.configuration,
        }))
        const newest = Math.max(...routers.map((router) => router.version))
        return reply({
          version,
          newest,
          everywhere: routers.every((router) => router.version === newest),
          connected: tailer.connected,
          problem: tailer.state.problem,
          routers,
        })
      },
    },
    {
      method: 'POST',
      path: '/config/move',
      role: Role.Owner,
      handle: async ({ actor }) => {
        const moved = await moveConfiguration(log, tailer, actor.id)
        if (moved.isErr()) return moved.error
        return reply({ version: tailer.state.version })
      },
    },
  ]
}
