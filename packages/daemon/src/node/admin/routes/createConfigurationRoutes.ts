import { redactHashes, Role } from '@auburnbay/core'
import type { AdminServerOptions } from '../adminServerOptions.js'
import { createResponse } from '../adminResponses.js'
import { moveConfiguration } from '../moveConfiguration.js'
import type { AdminRoute } from '../adminRoute.js'

/**
 * Routes that show the active configuration and each router's version, and move
 * the configuration to another log.
 */
export function createConfigurationRoutes(
  options: AdminServerOptions,
): AdminRoute[] {
  const { log, tailer, membership, self } = options
  return [
    {
      method: 'GET',
      path: '/config',
      role: Role.Viewer,
      handle: () => {
        const { version, configuration } = tailer.state
        return createResponse({
          version,
          configuration: redactHashes(configuration),
        })
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
        return createResponse({
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
        return createResponse({ version: tailer.state.version })
      },
    },
  ]
}
