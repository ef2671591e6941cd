import type { MeasureGroup } from '../measureGroup.js'
import { measureMovedChats } from './measureMovedChats.js'

/** Figures of the choice of targets. */
export const routingMeasures: MeasureGroup = {
  name: 'routing',
  run: () => [measureMovedChats()],
}
