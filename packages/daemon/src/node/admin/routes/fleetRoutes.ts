import { Role } from '@auburnbay/core'
import type { AdminParts } from '../adminParts.js'
import { reply } from '../adminReplies.js'
import type { AdminRoute } from '../adminRoute.js'

/** Paths that show routers, and targets with their load. */
export function createFleetRoutes(parts: AdminParts): AdminRoute[] {
  const { tailer, membership, routing, self } = parts
  return [
    {
      method: 'GET',
      path: '/routers',
      role: Role.Viewer,
      handle: () => {
        const own = { id: self().router, ageMs: 0, heartbeat: self() }
        return reply(
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
        return reply(
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
