import { parentPort, workerData } from 'node:worker_threads'
import { runSchedules, type SchedulePartition } from './runSchedules.js'

parentPort?.postMessage(await runSchedules(workerData as SchedulePartition))
