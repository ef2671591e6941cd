import type { MeasureGroup } from '../measureGroup.js'
import { measureDigests } from './measureDigests.js'
import { measurePlacing } from './measurePlacing.js'

/** Figures of the router's choice of targets and its digests. */
export const placingMeasures: MeasureGroup = {
  name: 'placing',
  run: () => [...measurePlacing(), ...measureDigests()],
}
