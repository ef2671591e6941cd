import type { MeasureGroup } from '../measureGroup.js'
import { deployments } from './deployments.js'
import { measureFleetLimits } from './measureFleetLimits.js'
import { measureOrder } from './measureOrder.js'
import { measureRetries } from './measureRetries.js'
import { measureShares } from './measureShares.js'
import { measureShedding } from './measureShedding.js'

/** Figures of queue order, limits, retries and load shedding. */
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
