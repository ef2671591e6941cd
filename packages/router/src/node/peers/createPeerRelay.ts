import type { IncomingMessage } from 'node:http'
import { verdictOfAttempt } from '@auburnbay/core/verdict/attemptProgress'
import type { FailureCode } from '@auburnbay/core/verdict/failureCode'
import type { RequestFailure } from '@auburnbay/core/verdict/requestFailure'
import { Verdict } from '@auburnbay/core/verdict/verdict'
import { ConnectionPool } from '@auburnbay/http-utils/connectionPool'
import { exchange } from '@auburnbay/http-utils/exchange'
import { HOP_BY_HOP } from '@auburnbay/http-utils/hopByHop'
import { formatAddress } from '@auburnbay/http-utils/listen'
import { readBody } from '@auburnbay/http-utils/readBody'
import { withoutHeaders } from '@auburnbay/http-utils/withoutHeaders'
import { err, ok, type Result } from 'neverthrow'
import type { Call } from '../callers/call.js'
import { CONNECT_TIMEOUT_MS, KEEP_ALIVE_TIMEOUT_MS } from '../constants.js'
import type { Peer } from './createPeerTable.js'
import {
  encodeRelayedRequest,
  RELAY_HEADER,
  RELAY_VERDICT_HEADER,
  type RelayedRequest,
} from './relayedRequest.js'

/** A relay that got neither a response of a target nor a failure from the peer. */
export interface RelayError {
  readonly verdict: Verdict
  readonly message: string
}

/** What a peer returned for a relayed request: a target's response, or its own failure. */
export type RelayResult =
  { readonly response: IncomingMessage } | { readonly failure: RequestFailure }

/** Sends requests through peers. */
export interface PeerRelay {
  send(
    call: Call,
    peer: Peer,
    relayed: RelayedRequest,
  ): Promise<Result<RelayResult, RelayError>>
  close(): void
}

/** Bytes of a failure's body that are read. */
const MAX_FAILURE_BYTES = 16 * 1024

const DROPPED = new Set([
  ...HOP_BY_HOP,
  'content-length',
  'expect',
  RELAY_HEADER,
])

function decodeFailure(res: IncomingMessage, body: Buffer): RequestFailure {
  const verdict =
    res.headers[RELAY_VERDICT_HEADER] === Verdict.NotRun
      ? Verdict.NotRun
      : Verdict.MayHaveRun
  const { error } = JSON.parse(body.toString()) as {
    error: { code: FailureCode; message: string }
  }
  const retryAfterS = Number(res.headers['retry-after'] ?? NaN)
  return {
    verdict,
    code: error.code,
    message: error.message,
    status: res.statusCode ?? 0,
    ...(Number.isFinite(retryAfterS) && { retryAfterS }),
  }
}

/** Creates a relay that reuses connections to peers. */
export function createPeerRelay(): PeerRelay {
  const agent = new ConnectionPool(KEEP_ALIVE_TIMEOUT_MS)
  return {
    async send(call, peer, relayed) {
      const address = formatAddress(peer.address)
      const result = await exchange({
        url: `http://${address}`,
        path: call.path,
        method: call.method,
        headers: [
          ...withoutHeaders(call.rawHeaders, DROPPED),
          RELAY_HEADER,
          encodeRelayedRequest(relayed),
          'content-length',
          String(call.body.length),
        ],
        body: call.body,
        signal: call.signal,
        agent,
        limits: {
          connectTimeoutMs: CONNECT_TIMEOUT_MS,
          firstByteTimeoutMs: relayed.remainingMs,
        },
        onSocket: (socket) => {
          agent.recordConnection(socket, address)
        },
      })
      if (result.isErr()) {
        const { progress, message } = result.error
        return err({ verdict: verdictOfAttempt(progress), message })
      }
      const response = result.value
      if (response.headers[RELAY_VERDICT_HEADER] === undefined)
        return ok({ response })
      const body = await readBody(response, MAX_FAILURE_BYTES)
      if (body.isErr()) {
        response.destroy()
        return err({ verdict: Verdict.MayHaveRun, message: body.error })
      }
      try {
        return ok({ failure: decodeFailure(response, body.value) })
      } catch (error) {
        const message = error instanceof Error ? error.message : String(error)
        return err({ verdict: Verdict.MayHaveRun, message })
      }
    },
    close() {
      agent.destroy()
    },
  }
}
