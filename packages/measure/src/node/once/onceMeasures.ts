import { Verdict } from '@auburnbay/core'
import { BoundKind, type Figure } from '../figure.js'
import type { MeasureGroup } from '../measureGroup.js'
import type { CallOutcome } from './callOutcome.js'
import { measureClaimAppends } from './measureClaimAppends.js'
import { measureClaimMemory } from './measureClaimMemory.js'
import { runSchedulesInThreads } from './runSchedulesInThreads.js'

const SCHEDULES = 2_000
const THREADS = 4
const SEED = 20_261

function countOutcomes(
  measure: string,
  outcomes: readonly CallOutcome[],
  matches: (outcome: CallOutcome) => boolean,
): Figure {
  const value = outcomes.filter(matches).length
  return { measure: `once.${measure}`, value, unit: 'requests' }
}

/** Figures of verdicts, complete responses and at-most-once execution under faults. */
export const onceMeasures: MeasureGroup = {
  name: 'once',
  run: async (): Promise<Figure[]> => {
    const { outcomes, contradictions } = await runSchedulesInThreads(
      SCHEDULES,
      SEED,
      THREADS,
    )
    for (const { marker, reason } of contradictions)
      process.stderr.write(`[measure] seed ${SEED}, ${marker}: ${reason}\n`)
    const isComplete = ({ status, complete }: CallOutcome): boolean =>
      status === 200 && complete
    const isTruncated = ({ status, complete }: CallOutcome): boolean =>
      status === 200 && !complete
    return [
      {
        measure: 'once.schedules',
        value: SCHEDULES,
        unit: `fault schedules, seed ${SEED}`,
        bound: 2_000,
        boundKind: BoundKind.AtLeast,
      },
      {
        measure: 'once.contradictions',
        value: contradictions.length,
        unit: 'requests',
        bound: 0,
      },
      countOutcomes('requests', outcomes, () => true),
      countOutcomes('whole', outcomes, isComplete),
      countOutcomes('broken-off', outcomes, isTruncated),
      countOutcomes('no-answer', outcomes, ({ status }) => status === 0),
      countOutcomes(
        'not-run',
        outcomes,
        ({ verdict }) => verdict === Verdict.NotRun,
      ),
      countOutcomes(
        'may-have-run',
        outcomes,
        ({ verdict }) => verdict === Verdict.MayHaveRun,
      ),
      ...(await measureClaimAppends()),
      ...measureClaimMemory(),
    ]
  },
}
