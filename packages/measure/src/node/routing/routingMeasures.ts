import type { MeasureGroup } from '../measureGroup.js'
import { measureChurn } from './measureChurn.js'
import { measureControl } from './measureControl.js'
import { measureDecision } from './measureDecision.js'
import { measureLoad } from './measureLoad.js'
import { measureMovedChats } from './measureMovedChats.js'

/** Figures of target selection. */
export const routingMeasures: MeasureGroup = {
  name: 'routing',
  run: async () => [
    measureMovedChats(),
    ...measureLoad(),
    ...measureChurn(),
    ...(await measureControl()),
    ...measureDecision(),
  ],
}
