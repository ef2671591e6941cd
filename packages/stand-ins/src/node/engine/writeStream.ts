import type { EventEmitter } from 'node:events'
import { once } from 'node:events'
import type { ServerResponse } from 'node:http'
import type { EngineFaults } from './engineFaults.js'
import type { EngineRun } from './engineRun.js'

/** Options for {@link writeStream}. */
export interface WriteStreamOptions {
  readonly run: EngineRun
  readonly res: ServerResponse
  /** Index of the first event to send. */
  readonly from: number
  readonly faults: EngineFaults
  /** Emits `event` when the run has new events or was cancelled. */
  readonly progress: EventEmitter
}

function isLast(run: EngineRun, index: number): boolean {
  return index === run.words.length
}

/** Destroys the connection after the last bytes have been flushed. */
function cutConnection(res: ServerResponse, lastBytes: string): void {
  res.write(lastBytes, () => res.destroy())
  if (lastBytes === '') res.destroy()
}

/** Writes a run's events to a response and injects faults. */
export async function writeStream(options: WriteStreamOptions): Promise<void> {
  const { run, res, from, faults, progress } = options
  let bytesLeft = faults.cutAfterBytes
  let sent = 0
  for (let index = from; index <= run.words.length; index += 1) {
    while (run.events.length <= index && !run.cancelled)
      await once(progress, 'event')
    const event = run.events[index]
    if (event === undefined || res.destroyed) break
    if (sent === faults.silentAfterEvents) return
    if (sent === faults.cutAfterEvents) {
      cutConnection(res, '')
      return
    }
    if (bytesLeft >= 0 && bytesLeft < event.length) {
      cutConnection(res, event.slice(0, bytesLeft))
      return
    }
    if (bytesLeft >= 0) bytesLeft -= event.length
    if (isLast(run, index) && faults.withholdEnd) break
    res.write(event)
    sent += 1
  }
  res.end()
}
