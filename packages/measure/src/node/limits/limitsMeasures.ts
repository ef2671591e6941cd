import type { MeasureGroup } from '../measureGroup.js'
import { deployments } from './deployments.js'
import { measureFleetLimits } from './measureFleetLimits.js'
import { measureOrder } from './measureOrder.js'
import { measureRetries } from './measureRetries.js'
import { measureShares } from './measureShares.js'
import { measureShedding } from './measureShedding.js'

/** Figures of order, limits and retries. */
export const limitsMeasures: MeasureGroup = {
  name: 'limits',
  run: () => [
    ...deployments.flatMap(measureOrder),
    ...deployments.flatMap(measureShares),
    ...measureFleetLimits(),
    ...deployments.flatMap(measureRetries),
    ...deployments.flatMap(measureShedding),
  ],
}
