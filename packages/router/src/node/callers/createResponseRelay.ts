import type { ServerResponse } from 'node:http'
import { createByteCollector } from '@auburnbay/http-utils/createByteCollector'
import { hasLength } from '@auburnbay/http-utils/hasLength'
import { withoutHeaders } from '@auburnbay/http-utils/withoutHeaders'
import type { TargetResponse } from '../targets/createTargetClient.js'
import type { TargetProtocol } from '../targets/targetProtocol.js'
import type { Call } from './call.js'
import { BreakPoint } from './createCrashReporter.js'
import { createEventSplitter } from './createEventSplitter.js'
import { relayBody } from './relayBody.js'
import { RelayOutcome } from './relayOutcome.js'
import { RequestKind } from '../configuration/requestKind.js'
import {
  encodeSoftwareVersion,
  RELAY_VERDICT_HEADER,
  RELAY_VERSION_HEADER,
} from '../peers/relayedRequest.js'
import { isResumable } from '../streams/isResumable.js'

/** Response bytes that are buffered so that a truncated response can be replaced. */
const MAX_BUFFERED_BYTES = 256 * 1024

/** Longest event of a stream; one event holds a few tokens. */
const MAX_EVENT_BYTES = 1024 * 1024

/** Headers by which routers talk to each other. */
const ROUTER_HEADERS = [RELAY_VERDICT_HEADER, RELAY_VERSION_HEADER]
const DROPPED_HEADERS = new Set(ROUTER_HEADERS)
/** Another target may end a stream that is resumed, at another length. */
const DROPPED_STREAM_HEADERS = new Set([...ROUTER_HEADERS, 'content-length'])

/** Status of a response that continues an interrupted stream. */
const RESUMED_STATUS = 200

/** Forwards the responses of targets to the caller of one call. */
export interface ResponseRelay {
  /** Whether response headers were sent to the caller. */
  readonly headersSent: boolean
  /** Whether the response of another target may still replace or continue a truncated one. */
  readonly canReplace: boolean
  /** Software version that began the stream: only its targets may continue it. */
  readonly softwareVersion: string | undefined
  /** Whether the response can follow what was already sent to the caller. */
  accepts(response: TargetResponse): boolean
  /** Id of the last complete event that was forwarded. */
  readonly lastEventId: string | undefined
  /** Where the last response has got to: a stream has begun with its second event. */
  readonly breakPoint: BreakPoint
  /** Forwards a response; an interrupted stream continues after its last event. */
  forward(response: TargetResponse, onChunk: () => void): Promise<RelayOutcome>
}

/** Creates the response relay of one call. */
export function createResponseRelay(
  call: Call,
  res: ServerResponse,
  protocol: TargetProtocol,
): ResponseRelay {
  const { route, signal, memory } = call
  const isStream = route.kind === RequestKind.Stream
  const splitter = createEventSplitter()
  let headersSent = false
  let hasBegun = false
  let hasEvents = false
  let { softwareVersion } = call

  /** Binds the stream to the version of the target that began it. */
  function begin(response: TargetResponse): void {
    if (hasBegun) return
    hasBegun = true
    softwareVersion ??= response.softwareVersion
  }

  function sendHeaders(response: TargetResponse): void {
    const { head, res: from } = response
    headersSent = true
    const isStreamHead = isResumable(route) && isSuccess(response)
    const headers = withoutHeaders(
      protocol.responseHeaders(from.rawHeaders),
      isStreamHead ? DROPPED_STREAM_HEADERS : DROPPED_HEADERS,
    )
    if (call.relayed && isStreamHead) {
      // The peer learns the version with the head, before the first event.
      begin(response)
      if (softwareVersion !== undefined)
        headers.push(
          RELAY_VERSION_HEADER,
          encodeSoftwareVersion(softwareVersion),
        )
    }
    res.writeHead(head.status, headers)
  }

  function isOfVersion(response: TargetResponse): boolean {
    const version = response.softwareVersion ?? softwareVersion
    return softwareVersion === undefined || version === softwareVersion
  }

  /** Whether a body may be buffered further. */
  function hasRoom(bufferedBytes: number, newBytes: number): boolean {
    return bufferedBytes <= MAX_BUFFERED_BYTES && memory.tryGrow(newBytes)
  }

  /**
   * Buffers the body until it is complete or there is no room; one of an error then
   * counts as broken off.
   */
  async function forwardPlain(
    response: TargetResponse,
    onChunk: () => void,
  ): Promise<RelayOutcome> {
    const buffered = createByteCollector()
    const outcome = await relayBody(response.res, res, signal, (bytes) => {
      onChunk()
      if (headersSent) return bytes
      buffered.add(bytes)
      if (hasRoom(buffered.length, bytes.length)) return undefined
      if (!isSuccess(response)) {
        buffered.take()
        response.res.destroy()
        return undefined
      }
      sendHeaders(response)
      return buffered.take()
    })
    if (outcome !== RelayOutcome.Complete) return outcome
    if (!headersSent) sendHeaders(response)
    res.end(buffered.take())
    return RelayOutcome.Complete
  }

  async function forwardStream(
    response: TargetResponse,
    onChunk: () => void,
  ): Promise<RelayOutcome> {
    if (!headersSent) {
      sendHeaders(response)
      res.flushHeaders()
    }
    splitter.reset()
    let eventBytes = 0
    const outcome = await relayBody(response.res, res, signal, (chunk) => {
      onChunk()
      const completeEvents = splitter.push(chunk)
      const growth = Math.max(0, splitter.incompleteBytes - eventBytes)
      eventBytes += growth
      if (eventBytes > MAX_EVENT_BYTES || !memory.tryGrow(growth))
        response.res.destroy()
      if (splitter.events > 0) {
        begin(response)
        hasEvents = true
      }
      return route.resumable ? completeEvents : chunk
    })
    if (outcome !== RelayOutcome.Complete) return outcome
    // Without a length, a truncated body looks like a complete one.
    if (!splitter.atEventBoundary) return RelayOutcome.Broken
    if (splitter.events === 0 && !hasLength(response.res))
      return RelayOutcome.Broken
    res.end()
    return RelayOutcome.Complete
  }

  return {
    get headersSent() {
      return headersSent
    },
    get lastEventId() {
      return splitter.lastEventId
    },
    get breakPoint() {
      return isStream && splitter.events > 1
        ? BreakPoint.Stream
        : BreakPoint.Start
    },
    get canReplace() {
      if (!headersSent) return true
      if (!isResumable(route)) return false
      if (hasBegun && softwareVersion === undefined) return false
      // Without an id the stream would start anew.
      return !hasEvents || splitter.lastEventId !== undefined
    },
    get softwareVersion() {
      return softwareVersion
    },
    accepts(response) {
      if (isResumable(route) && !isOfVersion(response)) return false
      return !headersSent || response.head.status === RESUMED_STATUS
    },
    forward: (response, onChunk) =>
      isStream && isSuccess(response)
        ? forwardStream(response, onChunk)
        : forwardPlain(response, onChunk),
  }
}

function isSuccess({ head }: TargetResponse): boolean {
  return head.status < 300
}
