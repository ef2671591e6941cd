import type { ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { createStreamAssembler, type StreamAssembler } from '@auburnbay/core'
import type { TargetResponse } from '../targets/targetResponse.js'
import { writeToCaller } from './writeToCaller.js'

/** Returns the rest of a stream, or undefined when this try failed. */
export type ResumeStream = (
  fromNumber: number,
) => Promise<TargetResponse | undefined>

/** Tries in a row that bring no event before a stream is given up. */
const MAX_FRUITLESS_RESUMES = 3
const RESUME_PAUSE_MS = 20

async function relayConnection(
  res: ServerResponse,
  reply: TargetResponse,
  assembler: StreamAssembler,
): Promise<void> {
  const decoder = new TextDecoder()
  for await (const chunk of reply.chunks()) {
    const events = assembler.push(decoder.decode(chunk, { stream: true }))
    await writeToCaller(res, events)
    if (assembler.fault !== undefined) return
    // The rest is read so that the connection can serve another request.
    if (assembler.done && !res.writableEnded) res.end()
  }
}

/** Passes an event stream on, whole events only, and resumes it where cut. */
export async function relayEventStream(
  res: ServerResponse,
  first: TargetResponse,
  resume: ResumeStream,
  signal: AbortSignal,
): Promise<void> {
  const assembler = createStreamAssembler()
  let reply: TargetResponse | undefined = first
  let fruitless = 0
  for (;;) {
    const before = assembler.nextEventNumber
    if (reply)
      await relayConnection(res, reply, assembler).catch(() => undefined)
    if (assembler.done) return
    const { fault, nextEventNumber: nextNumber } = assembler
    if (fault !== undefined) throw new Error(`the stream is broken: ${fault}`)
    if (nextNumber === undefined)
      throw new Error('the stream was cut and cannot be resumed')
    if (signal.aborted || res.destroyed)
      throw new Error('the caller went away or the deadline passed')
    fruitless = nextNumber === before ? fruitless + 1 : 0
    if (fruitless > MAX_FRUITLESS_RESUMES)
      throw new Error('the stream was cut again and again')
    if (fruitless > 0) await sleep(RESUME_PAUSE_MS * fruitless)
    reply = await resume(nextNumber)
    assembler.resume()
  }
}
