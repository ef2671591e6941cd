import fc from 'fast-check'
import { createTrial, type TrialResult } from './createTrial.js'
import { type Schedule, scheduleArbitrary } from './schedule.js'

/** One of several partitions of the generated schedules. */
export interface SchedulePartition {
  /** Schedules generated from the seed, over all partitions. */
  readonly count: number
  readonly seed: number
  /** Index of this partition; it runs every `partitions`-th schedule from there. */
  readonly partition: number
  readonly partitions: number
}

/** Trials that run concurrently in one thread. */
const PARALLEL_TRIALS = 12

async function runTrial(
  name: string,
  schedules: readonly Schedule[],
): Promise<TrialResult> {
  const trial = await createTrial(name)
  for (const schedule of schedules) await trial.run(schedule)
  return trial.finish()
}

/** Merges the results of several trials. */
export function mergeResults(results: readonly TrialResult[]): TrialResult {
  return {
    outcomes: results.flatMap((result) => result.outcomes),
    contradictions: results.flatMap((result) => result.contradictions),
  }
}

/** Runs one partition of the generated schedules, several at a time. */
export async function runSchedules(
  options: SchedulePartition,
): Promise<TrialResult> {
  const { count, seed, partition, partitions } = options
  const all = fc.sample(scheduleArbitrary, { numRuns: count, seed })
  const own = all.filter((_, index) => index % partitions === partition)
  const results = await Promise.all(
    Array.from({ length: PARALLEL_TRIALS }, (_, trial) =>
      runTrial(
        `p${partition}t${trial}`,
        own.filter((_, index) => index % PARALLEL_TRIALS === trial),
      ),
    ),
  )
  return mergeResults(results)
}
