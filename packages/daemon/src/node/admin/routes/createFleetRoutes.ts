import { Role } from '@auburnbay/core'
import type { AdminServerOptions } from '../adminServerOptions.js'
import { createResponse } from '../adminResponses.js'
import type { AdminRoute } from '../adminRoute.js'

/** Routes that list the routers, and the targets with their load. */
export function createFleetRoutes(options: AdminServerOptions): AdminRoute[] {
  const { tailer, membership, routing, self } = options
  return [
    {
      method: 'GET',
      path: '/routers',
      role: Role.Viewer,
      handle: () => {
        const own = { id: self().router, ageMs: 0, heartbeat: self() }
        return createResponse(
          [own, ...membership.livePeers()].map(({ id, ageMs, heartbeat }) => ({
            id,
            dataCentre: heartbeat.dataCentre,
            incarnation: heartbeat.incarnation,
            version: heartbeat.configurationVersion,
            stopping: heartbeat.stopping,
            ageMs: Math.round(ageMs),
          })),
        )
      },
    },
    {
      method: 'GET',
      path: '/targets',
      role: Role.Viewer,
      handle: () => {
        const { targets } = tailer.state.configuration
        const loads = new Map(
          routing.status().map((status) => [status.id, status]),
        )
        return createResponse(
          Object.entries(targets).map(([id, target]) => ({
            ...target,
            draining: target.draining ?? false,
            ...loads.get(id),
            id,
          })),
        )
      },
    },
  ]
}
