import { Verdict } from '@auburnbay/core'
import { BoundKind, type Figure } from '../figure.js'
import type { MeasureGroup } from '../measureGroup.js'
import type { CallOutcome } from './callOutcome.js'
import { measureClaimAppends } from './measureClaimAppends.js'
import { measureClaimMemory } from './measureClaimMemory.js'
import { runInThreads } from './runInThreads.js'

const SCHEDULES = 2_000
const THREADS = 4
const SEED = 20_261

function countOf(
  measure: string,
  outcomes: readonly CallOutcome[],
  matches: (told: CallOutcome) => boolean,
): Figure {
  const value = outcomes.filter(matches).length
  return { measure: `once.${measure}`, value, unit: 'requests' }
}

/** Figures of verdicts, whole answers and at-most-once under faults. */
export const onceMeasures: MeasureGroup = {
  name: 'once',
  run: async (): Promise<Figure[]> => {
    const { outcomes, contradictions } = await runInThreads(
      SCHEDULES,
      SEED,
      THREADS,
    )
    for (const { marker, reason } of contradictions)
      process.stderr.write(`[measure] seed ${SEED}, ${marker}: ${reason}\n`)
    const whole = (told: CallOutcome): boolean =>
      told.status === 200 && told.whole
    const cut = (told: CallOutcome): boolean =>
      told.status === 200 && !told.whole
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
      countOf('requests', outcomes, () => true),
      countOf('whole', outcomes, whole),
      countOf('broken-off', outcomes, cut),
      countOf('no-answer', outcomes, ({ status }) => status === 0),
      countOf('not-run', outcomes, ({ verdict }) => verdict === Verdict.NotRun),
      countOf(
        'may-have-run',
        outcomes,
        ({ verdict }) => verdict === Verdict.MayHaveRun,
      ),
      ...(await measureClaimAppends()),
      ...measureClaimMemory(),
    ]
  },
}
