import { once } from 'node:events'
import { Worker } from 'node:worker_threads'
import type { TrialResult } from './createTrial.js'
import { joinResults, type ScheduleShare } from './runSchedules.js'

const workerUrl = new URL('scheduleWorker.js', import.meta.url)

async function runShare(workerData: ScheduleShare): Promise<TrialResult> {
  const worker = new Worker(workerUrl, { workerData })
  const [result] = (await once(worker, 'message')) as [TrialResult]
  await worker.terminate()
  return result
}

/** Runs `count` generated schedules, divided among threads. */
export async function runInThreads(
  count: number,
  seed: number,
  threads: number,
): Promise<TrialResult> {
  const shares = Array.from({ length: threads }, (_, part) =>
    runShare({ count, seed, part, of: threads }),
  )
  return joinResults(await Promise.all(shares))
}
