import type { ServerResponse } from 'node:http'
import type { TargetAnswer } from '../targets/createTargetClient.js'
import type { TargetProtocol } from '../targets/targetProtocol.js'
import type { Call } from './call.js'
import { createEventSplitter } from './createEventSplitter.js'
import { pumpBody } from './pumpBody.js'
import { readWhole } from './readWhole.js'
import { RelayEnd } from './relayEnd.js'
import { RequestKind } from '../configuration/requestKind.js'

/** Longest body, in bytes, that is read whole before the caller gets any. */
const MAX_WHOLE_BYTES = 256 * 1024

/** Passes one call's answers on to its caller. */
export interface AnswerRelay {
  /** Whether the caller has the head of an answer. */
  readonly begun: boolean
  /** Last event that the caller has. */
  readonly lastEventId: string | undefined
  /** Passes an answer on; what follows a broken stream goes on after it. */
  relay(answer: TargetAnswer): Promise<RelayEnd>
}

/** Creates the relay of one call. */
export function createAnswerRelay(
  call: Call,
  res: ServerResponse,
  protocol: TargetProtocol,
): AnswerRelay {
  const { route, signal } = call
  const isStream = route.kind === RequestKind.Stream
  const splitter = createEventSplitter()
  let begun = false

  function begin({ head, res: from }: TargetAnswer): void {
    begun = true
    res.writeHead(head.status, protocol.answerHeaders(from.rawHeaders))
  }

  function fitsWhole({ res: from }: TargetAnswer): boolean {
    const length = Number(from.headers['content-length'] ?? NaN)
    return !isStream && length <= MAX_WHOLE_BYTES
  }

  async function relayWhole(answer: TargetAnswer): Promise<RelayEnd> {
    const body = await readWhole(answer.res)
    if (signal.aborted) return RelayEnd.Aborted
    if (!body) return RelayEnd.Broken
    begin(answer)
    res.end(body)
    return RelayEnd.Complete
  }

  async function relayPieces(answer: TargetAnswer): Promise<RelayEnd> {
    if (!begun) {
      begin(answer)
      res.flushHeaders()
    }
    splitter.reset()
    const resumable = isStream && route.resumable
    const end = await pumpBody(answer.res, res, signal, (piece) => {
      if (!isStream) return piece
      const whole = splitter.push(piece)
      return resumable ? whole : piece
    })
    if (end !== RelayEnd.Complete) return end
    // Without a length, a body that broke off looks like one that ended.
    const isCut = isStream && isSuccess(answer) && !splitter.isWhole
    if (isCut) return RelayEnd.Broken
    res.end()
    return RelayEnd.Complete
  }

  return {
    get begun() {
      return begun
    },
    get lastEventId() {
      return splitter.lastEventId
    },
    relay: (answer) =>
      fitsWhole(answer) ? relayWhole(answer) : relayPieces(answer),
  }
}

function isSuccess({ head }: TargetAnswer): boolean {
  return head.status < 300
}
