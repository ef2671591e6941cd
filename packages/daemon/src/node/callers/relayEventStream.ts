import type { ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { createStreamAssembler, type StreamAssembler } from '@auburnbay/core'
import type { TargetResponse } from '../targets/targetResponse.js'
import { writeToCaller } from './writeToCaller.js'

/** Requests the rest of a stream; undefined when the request failed. */
export type ResumeStream = (
  fromEventNumber: number,
) => Promise<TargetResponse | undefined>

/** Consecutive resumes without a new event that are tolerated. */
const MAX_EMPTY_RESUMES = 3
/** Milliseconds of linear backoff per consecutive resume without a new event. */
const RESUME_BACKOFF_MS = 20

async function relayResponse(
  res: ServerResponse,
  response: TargetResponse,
  assembler: StreamAssembler,
): Promise<void> {
  const decoder = new TextDecoder()
  for await (const chunk of response.chunks()) {
    const events = assembler.push(decoder.decode(chunk, { stream: true }))
    await writeToCaller(res, events)
    if (assembler.fault !== undefined) return
    // The body is read to its end so that the connection can be reused.
    if (assembler.done && !res.writableEnded) res.end()
  }
}

/** Relays an event stream in complete events and resumes it after a truncation. */
export async function relayEventStream(
  res: ServerResponse,
  initialResponse: TargetResponse,
  resume: ResumeStream,
  signal: AbortSignal,
): Promise<void> {
  const assembler = createStreamAssembler()
  let response: TargetResponse | undefined = initialResponse
  let emptyResumes = 0
  for (;;) {
    const previousEventNumber = assembler.nextEventNumber
    if (response)
      await relayResponse(res, response, assembler).catch(() => undefined)
    if (assembler.done) return
    const { fault, nextEventNumber } = assembler
    if (fault !== undefined)
      throw new Error(`the event stream is invalid: ${fault}`)
    if (nextEventNumber === undefined)
      throw new Error('the stream was cut and cannot be resumed')
    if (signal.aborted || res.destroyed)
      throw new Error('the caller disconnected or the deadline passed')
    emptyResumes =
      nextEventNumber === previousEventNumber ? emptyResumes + 1 : 0
    if (emptyResumes > MAX_EMPTY_RESUMES)
      throw new Error(`${emptyResumes} consecutive resumes brought no event`)
    if (emptyResumes > 0) await sleep(RESUME_BACKOFF_MS * emptyResumes)
    response = await resume(nextEventNumber)
    assembler.resume()
  }
}
