import type { AdminParts } from './adminParts.js'
import type { AdminRoute } from './adminRoute.js'
import { createConfigurationWriter } from './configurationWriter.js'
import { createConfigurationRoutes } from './routes/configurationRoutes.js'
import { createDrainRoutes } from './routes/drainRoutes.js'
import { createExplainRoutes } from './routes/explainRoutes.js'
import { createFleetRoutes } from './routes/fleetRoutes.js'
import { createHistoryRoutes } from './routes/historyRoutes.js'
import { createKeyRoutes } from './routes/keyRoutes.js'
import { createOperatorRoutes } from './routes/operatorRoutes.js'
import { createPatchRoutes } from './routes/patchRoutes.js'
import { createSectionRoutes } from './routes/sectionRoutes.js'

/** Returns every path of the administration API. */
export function createAdminRoutes(parts: AdminParts): AdminRoute[] {
  const writer = createConfigurationWriter(parts.log, parts.tailer)
  return [
    ...createConfigurationRoutes(parts),
    ...createPatchRoutes(parts, writer),
    ...createHistoryRoutes(parts),
    ...createFleetRoutes(parts),
    ...createExplainRoutes(parts),
    ...createDrainRoutes(writer),
    ...createKeyRoutes(parts, writer),
    ...createOperatorRoutes(parts, writer),
    ...createSectionRoutes(parts, writer),
  ]
}
