import type { ServerResponse } from 'node:http'
import type { TargetResponse } from '../targets/createTargetClient.js'
import type { TargetProtocol } from '../targets/targetProtocol.js'
import type { Call } from './call.js'
import { createEventSplitter } from './createEventSplitter.js'
import { pumpBody } from './pumpBody.js'
import { RelayEnd } from './relayEnd.js'
import { RequestKind } from '../configuration/requestKind.js'

/** Bytes of a body that are held back, so that a broken answer can be replaced. */
const MAX_HELD_BYTES = 256 * 1024

/** Status of an answer that goes on with a stream. */
const RESUMED_STATUS = 200

/** Passes one call's answers on to its caller. */
export interface AnswerRelay {
  /** Whether the caller has the head of an answer. */
  readonly begun: boolean
  /** Whether another target's answer may still take the place of a broken one. */
  readonly replaceable: boolean
  /** Whether an answer may follow what the caller has. */
  fits(answer: TargetResponse): boolean
  /** Last event that the caller has. */
  readonly lastEventId: string | undefined
  /** Passes an answer on; what follows a broken stream goes on after it. */
  relay(answer: TargetResponse, onPiece: () => void): Promise<RelayEnd>
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

  function begin({ head, res: from }: TargetResponse): void {
    begun = true
    res.writeHead(head.status, protocol.responseHeaders(from.rawHeaders))
  }

  /** Holds a body back until it is whole, unless it is long. */
  async function relayPlain(
    answer: TargetResponse,
    onPiece: () => void,
  ): Promise<RelayEnd> {
    let held: Buffer[] = []
    let heldBytes = 0
    const end = await pumpBody(answer.res, res, signal, (piece) => {
      onPiece()
      if (begun) return piece
      held.push(piece)
      heldBytes += piece.length
      if (heldBytes <= MAX_HELD_BYTES) return undefined
      begin(answer)
      const start = Buffer.concat(held)
      held = []
      return start
    })
    if (end !== RelayEnd.Complete) return end
    if (!begun) begin(answer)
    res.end(Buffer.concat(held))
    return RelayEnd.Complete
  }

  async function relayStream(
    answer: TargetResponse,
    onPiece: () => void,
  ): Promise<RelayEnd> {
    if (!begun) {
      begin(answer)
      res.flushHeaders()
    }
    splitter.reset()
    const end = await pumpBody(answer.res, res, signal, (piece) => {
      onPiece()
      const whole = splitter.push(piece)
      return route.resumable ? whole : piece
    })
    if (end !== RelayEnd.Complete) return end
    // Without a length, a body that broke off looks like one that ended.
    if (!splitter.isWhole) return RelayEnd.Broken
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
    get replaceable() {
      return !begun || (isStream && route.resumable)
    },
    fits: ({ head }) => !begun || head.status === RESUMED_STATUS,
    relay: (answer, onPiece) =>
      isStream && isSuccess(answer)
        ? relayStream(answer, onPiece)
        : relayPlain(answer, onPiece),
  }
}

function isSuccess({ head }: TargetResponse): boolean {
  return head.status < 300
}
