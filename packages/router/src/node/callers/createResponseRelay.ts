import type { ServerResponse } from 'node:http'
import type { TargetResponse } from '../targets/createTargetClient.js'
import type { TargetProtocol } from '../targets/targetProtocol.js'
import type { Call } from './call.js'
import { createEventSplitter } from './createEventSplitter.js'
import { relayBody } from './relayBody.js'
import { RelayOutcome } from './relayOutcome.js'
import { RequestKind } from '../configuration/requestKind.js'

/** Bytes of a body that are held back, so that a broken answer can be replaced. */
const MAX_HELD_BYTES = 256 * 1024

/** Status of an answer that goes on with a stream. */
const RESUMED_STATUS = 200

/** Passes one call's answers on to its caller. */
export interface ResponseRelay {
  /** Whether the caller has the head of an answer. */
  readonly headersSent: boolean
  /** Whether another target's answer may still take the place of a broken one. */
  readonly canReplace: boolean
  /** Whether an answer may follow what the caller has. */
  accepts(answer: TargetResponse): boolean
  /** Last event that the caller has. */
  readonly lastEventId: string | undefined
  /** Passes an answer on; what follows a broken stream goes on after it. */
  forward(answer: TargetResponse, onPiece: () => void): Promise<RelayOutcome>
}

/** Creates the relay of one call. */
export function createResponseRelay(
  call: Call,
  res: ServerResponse,
  protocol: TargetProtocol,
): ResponseRelay {
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
  ): Promise<RelayOutcome> {
    let held: Buffer[] = []
    let heldBytes = 0
    const end = await relayBody(answer.res, res, signal, (piece) => {
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
    if (end !== RelayOutcome.Complete) return end
    if (!begun) begin(answer)
    res.end(Buffer.concat(held))
    return RelayOutcome.Complete
  }

  async function relayStream(
    answer: TargetResponse,
    onPiece: () => void,
  ): Promise<RelayOutcome> {
    if (!begun) {
      begin(answer)
      res.flushHeaders()
    }
    splitter.reset()
    const end = await relayBody(answer.res, res, signal, (piece) => {
      onPiece()
      const whole = splitter.push(piece)
      return route.resumable ? whole : piece
    })
    if (end !== RelayOutcome.Complete) return end
    // Without a length, a body that broke off looks like one that ended.
    if (!splitter.atEventBoundary) return RelayOutcome.Broken
    res.end()
    return RelayOutcome.Complete
  }

  return {
    get headersSent() {
      return begun
    },
    get lastEventId() {
      return splitter.lastEventId
    },
    get canReplace() {
      return !begun || (isStream && route.resumable)
    },
    accepts: ({ head }) => !begun || head.status === RESUMED_STATUS,
    forward: (answer, onPiece) =>
      isStream && isSuccess(answer)
        ? relayStream(answer, onPiece)
        : relayPlain(answer, onPiece),
  }
}

function isSuccess({ head }: TargetResponse): boolean {
  return head.status < 300
}
