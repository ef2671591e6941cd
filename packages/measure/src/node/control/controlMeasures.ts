import { setTimeout as sleep } from 'node:timers/promises'
import type { MeasureGroup } from '../measureGroup.js'
import { SETTLE_MS } from './constants.js'
import { createStatsReader } from './createStatsReader.js'
import { measureControlWork } from './measureControlWork.js'
import { measurePath } from './measurePath.js'
import { startControlFleet } from './startControlFleet.js'

const ROUTER_PROCESSES = 3

/** Figures of the request path through a router and of its control work. */
export const controlMeasures: MeasureGroup = {
  name: 'control',
  run: async () => {
    const stats = await createStatsReader()
    const fleet = await startControlFleet(ROUTER_PROCESSES, stats)
    try {
      await sleep(SETTLE_MS)
      // Runs first: by the idle window, the JIT has then compiled the idle router's code.
      const path = await measurePath(fleet)
      return [...path, ...(await measureControlWork(fleet, stats))]
    } finally {
      await fleet.stop()
      stats.close()
    }
  },
}
