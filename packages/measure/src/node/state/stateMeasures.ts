import type { MeasureGroup } from '../measureGroup.js'
import { measureAppends } from './measureAppends.js'
import { measureConfigurationFaults } from './measureConfigurationFaults.js'
import { measureDigestBytes } from './measureDigestBytes.js'
import { measureDepartures } from './measureDepartures.js'
import { measureOrderWindow } from './measureOrderWindow.js'
import { measurePatchCost } from './measurePatchCost.js'
import { measurePropagation } from './measurePropagation.js'

/** Figures of configuration, orders and membership. */
export const stateMeasures: MeasureGroup = {
  name: 'state',
  run: () => [
    ...measureConfigurationFaults(),
    ...measurePropagation(),
    ...measureAppends(),
    ...measureDigestBytes(),
    measurePatchCost(),
    ...measureOrderWindow(),
    ...measureDepartures(),
  ],
}
