import { joinPointer, Role } from '@auburnbay/core'
import { createResponse } from '../adminResponses.js'
import type { AdminRoute } from '../adminRoute.js'
import type { ConfigurationWriter } from '../createConfigurationWriter.js'

/** Routes that drain and undrain a target. */
export function createDrainRoutes(writer: ConfigurationWriter): AdminRoute[] {
  const createRoute = (path: string, value: boolean): AdminRoute => ({
    method: 'POST',
    path,
    role: Role.Editor,
    handle: async ({ actor, params }) => {
      const field = joinPointer('targets', params.target ?? '', 'draining')
      const result = await writer.update(actor, () => [
        { op: 'add', path: field, value },
      ])
      return result.isOk() ? createResponse(result.value) : result.error
    },
  })
  return [
    createRoute('/targets/:target/drain', true),
    createRoute('/targets/:target/undrain', false),
  ]
}
