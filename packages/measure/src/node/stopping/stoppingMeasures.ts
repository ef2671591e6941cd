import { BoundKind, type Figure } from '../figure.js'
import type { MeasureGroup } from '../measureGroup.js'
import { ChatOutcome } from './callChat.js'
import { killRouterUnderLoad } from './killRouterUnderLoad.js'
import { runRollingRestart } from './runRollingRestart.js'

const ROUTERS = 3
const CALLERS = 12

/** Figures of rolling restarts and of killed routers. */
export const stoppingMeasures: MeasureGroup = {
  name: 'stopping',
  run: async (): Promise<Figure[]> => {
    const [rolled, killed] = await Promise.all([
      runRollingRestart(ROUTERS, CALLERS),
      killRouterUnderLoad(CALLERS),
    ])
    const total = Object.values(rolled.outcomes).reduce((sum, n) => sum + n, 0)
    const requests = 'requests'
    return [
      {
        measure: 'stopping.rolling-failed',
        value: total - rolled.outcomes[ChatOutcome.Complete],
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
        value: killed[ChatOutcome.Wrong] + killed[ChatOutcome.NotRun],
        unit: `${requests} told something untrue`,
        bound: 0,
      },
      {
        measure: 'stopping.killed-broken',
        value: killed[ChatOutcome.Aborted],
        unit: `${requests} broken off visibly`,
        bound: 1,
        boundKind: BoundKind.AtLeast,
      },
    ]
  },
}
