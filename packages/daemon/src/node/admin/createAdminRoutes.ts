import type { AdminServerOptions } from './adminServerOptions.js'
import type { AdminRoute } from './adminRoute.js'
import { createConfigurationWriter } from './createConfigurationWriter.js'
import { createConfigurationRoutes } from './routes/createConfigurationRoutes.js'
import { createDrainRoutes } from './routes/createDrainRoutes.js'
import { createExplainRoutes } from './routes/createExplainRoutes.js'
import { createFleetRoutes } from './routes/createFleetRoutes.js'
import { createHistoryRoutes } from './routes/createHistoryRoutes.js'
import { createKeyRoutes } from './routes/createKeyRoutes.js'
import { createOperatorRoutes } from './routes/createOperatorRoutes.js'
import { createPatchRoutes } from './routes/createPatchRoutes.js'
import { createSectionRoutes } from './routes/createSectionRoutes.js'

/** Creates all routes of the administration API. */
export function createAdminRoutes(options: AdminServerOptions): AdminRoute[] {
  const writer = createConfigurationWriter(options.log, options.tailer)
  return [
    ...createConfigurationRoutes(options),
    ...createPatchRoutes(options, writer),
    ...createHistoryRoutes(options),
    ...createFleetRoutes(options),
    ...createExplainRoutes(options),
    ...createDrainRoutes(writer),
    ...createKeyRoutes(options, writer),
    ...createOperatorRoutes(options, writer),
    ...createSectionRoutes(options, writer),
  ]
}
