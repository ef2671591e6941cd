import { parentPort, workerData } from 'node:worker_threads'
import { runSchedules, type ScheduleShare } from './runSchedules.js'

parentPort?.postMessage(await runSchedules(workerData as ScheduleShare))
