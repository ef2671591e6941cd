import { BoundKind, type Figure } from '../figure.js'
import type { MeasureGroup } from '../measureGroup.js'
import { ChatEnd } from './chatCall.js'
import { killRouter } from './killRouter.js'
import { rollFleet } from './rollFleet.js'

const ROUTERS = 3
const CALLERS = 12

/** Figures of stopping, replacing and losing routers. */
export const stoppingMeasures: MeasureGroup = {
  name: 'stopping',
  run: async (): Promise<Figure[]> => {
    const rolled = await rollFleet(ROUTERS, CALLERS)
    const killed = await killRouter(CALLERS)
    const total = Object.values(rolled.ends).reduce((sum, n) => sum + n, 0)
    const requests = 'requests'
    return [
      {
        measure: 'stopping.rolling-failed',
        value: total - rolled.ends[ChatEnd.Whole],
        unit: `${requests} not answered whole`,
        bound: 0,
      },
      { measure: 'stopping.rolling-requests', value: total, unit: requests },
      {
        measure: 'stopping.open-at-stop',
        value: rolled.openAtStop,
        unit: 'streams',
        bound: 1,
        boundKind: BoundKind.AtLeast,
      },
      {
        measure: 'stopping.unclean-exits',
        value: rolled.exitCodes.filter((code) => code !== 0).length,
        unit: 'routers',
        bound: 0,
      },
      {
        measure: 'stopping.killed-wrong',
        value: killed[ChatEnd.Wrong] + killed[ChatEnd.NotRun],
        unit: `${requests} told something untrue`,
        bound: 0,
      },
      {
        measure: 'stopping.killed-broken',
        value: killed[ChatEnd.Broken],
        unit: `${requests} broken off visibly`,
        bound: 1,
        boundKind: BoundKind.AtLeast,
      },
    ]
  },
}
