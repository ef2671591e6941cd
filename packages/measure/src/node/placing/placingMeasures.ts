import type { MeasureGroup } from '../measureGroup.js'
import { measureAggregatedDigests } from './measureAggregatedDigests.js'
import { measureDigests } from './measureDigests.js'
import { measurePlacing } from './measurePlacing.js'

/** Figures of the router's target selection and its digests. */
export const placingMeasures: MeasureGroup = {
  name: 'placing',
  run: () => [
    ...measurePlacing(),
    ...measureDigests(),
    ...measureAggregatedDigests(),
  ],
}
