import fc from 'fast-check'
import { createTrial, type TrialResult } from './createTrial.js'
import { type Schedule, scheduleArbitrary } from './schedule.js'

/** Which of the generated schedules are run. */
export interface ScheduleShare {
  /** Schedules generated from the seed. */
  readonly count: number
  readonly seed: number
  /** Every `of`-th schedule is run, from number `part` on. */
  readonly part: number
  readonly of: number
}

/** Trials at a time in one thread. */
const PARALLEL_TRIALS = 12

async function runTrial(
  name: string,
  schedules: readonly Schedule[],
): Promise<TrialResult> {
  const trial = await createTrial(name)
  for (const schedule of schedules) await trial.run(schedule)
  return trial.finish()
}

/** Joins the results of trials. */
export function joinResults(results: readonly TrialResult[]): TrialResult {
  return {
    outcomes: results.flatMap((result) => result.outcomes),
    contradictions: results.flatMap((result) => result.contradictions),
  }
}

/** Runs a share of the generated schedules, several at a time. */
export async function runSchedules(share: ScheduleShare): Promise<TrialResult> {
  const { count, seed, part, of } = share
  const all = fc.sample(scheduleArbitrary, { numRuns: count, seed })
  const own = all.filter((_, index) => index % of === part)
  const results = await Promise.all(
    Array.from({ length: PARALLEL_TRIALS }, (_, trial) =>
      runTrial(
        `p${part}t${trial}`,
        own.filter((_, index) => index % PARALLEL_TRIALS === trial),
      ),
    ),
  )
  return joinResults(results)
}
