import type { EventEmitter } from 'node:events'
import { once } from 'node:events'
import type { ServerResponse } from 'node:http'
import type { EngineFaults } from './engineFaults.js'
import type { EngineRun } from './engineRun.js'

/** One connection that carries a run's events from a number on. */
export interface StreamWriting {
  readonly run: EngineRun
  readonly res: ServerResponse
  readonly from: number
  readonly faults: EngineFaults
  /** Emits `event` whenever the run has gone on. */
  readonly progress: EventEmitter
}

function isLast(run: EngineRun, number: number): boolean {
  return number === run.words.length
}

/** Cuts the connection once what was written has left. */
function cut(res: ServerResponse, rest: string): void {
  res.write(rest, () => res.destroy())
  if (rest === '') res.destroy()
}

/** Writes a run's events and applies the fault switches. */
export async function writeStream(writing: StreamWriting): Promise<void> {
  const { run, res, from, faults, progress } = writing
  let bytesLeft = faults.cutAfterBytes
  let sent = 0
  for (let number = from; number <= run.words.length; number += 1) {
    while (run.events.length <= number && !run.cancelled)
      await once(progress, 'event')
    const event = run.events[number]
    if (event === undefined || res.destroyed) break
    if (sent === faults.silentAfterEvents) return
    if (sent === faults.cutAfterEvents) {
      cut(res, '')
      return
    }
    if (bytesLeft >= 0 && bytesLeft < event.length) {
      cut(res, event.slice(0, bytesLeft))
      return
    }
    if (bytesLeft >= 0) bytesLeft -= event.length
    if (isLast(run, number) && faults.withholdEnd) break
    res.write(event)
    sent += 1
  }
  res.end()
}
