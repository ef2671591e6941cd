import { once } from 'node:events'
import { Worker } from 'node:worker_threads'
import type { TrialResult } from './createTrial.js'
import { mergeResults, type SchedulePartition } from './runSchedules.js'

const workerUrl = new URL('scheduleWorker.js', import.meta.url)

async function runInWorker(
  workerData: SchedulePartition,
): Promise<TrialResult> {
  const worker = new Worker(workerUrl, { workerData })
  const [result] = (await once(worker, 'message')) as [TrialResult]
  await worker.terminate()
  return result
}

/** Runs `count` generated schedules, divided evenly among worker threads. */
export async function runSchedulesInThreads(
  count: number,
  seed: number,
  threads: number,
): Promise<TrialResult> {
  const results = Array.from({ length: threads }, (_, partition) =>
    runInWorker({ count, seed, partition, partitions: threads }),
  )
  return mergeResults(await Promise.all(results))
}
