import { joinPointer, Role } from '@auburnbay/core'
import { reply } from '../adminReplies.js'
import type { AdminRoute } from '../adminRoute.js'
import type { ConfigurationWriter } from '../configurationWriter.js'

/** Paths that take a target out of service and back in. */
export function createDrainRoutes(writer: ConfigurationWriter): AdminRoute[] {
  const setDraining = (path: string, value: boolean): AdminRoute => ({
    method: 'POST',
    path,
    role: Role.Editor,
    handle: async ({ actor, params }) => {
      const field = joinPointer('targets', params.target ?? '', 'draining')
      const result = await writer.update(actor, () => [
        { op: 'add', path: field, value },
      ])
      return result.isOk() ? reply(result.value) : result.error
    },
  })
  return [
    setDraining('/targets/:target/drain', true),
    setDraining('/targets/:target/undrain', false),
  ]
}
