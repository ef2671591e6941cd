import { controlMeasures } from './control/controlMeasures.js'
import { limitsMeasures } from './limits/limitsMeasures.js'
import type { MeasureGroup } from './measureGroup.js'
import { onceMeasures } from './once/onceMeasures.js'
import { placingMeasures } from './placing/placingMeasures.js'
import { routingMeasures } from './routing/routingMeasures.js'
import { stateMeasures } from './state/stateMeasures.js'
import { stoppingMeasures } from './stopping/stoppingMeasures.js'

/** All groups, in the order in which they run. */
export const measureGroups: readonly MeasureGroup[] = [
  routingMeasures,
  placingMeasures,
  limitsMeasures,
  stateMeasures,
  stoppingMeasures,
  onceMeasures,
  controlMeasures,
]
