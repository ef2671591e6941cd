import type { IncomingMessage } from 'node:http'
import { AttemptProgress } from '@auburnbay/core/verdict/attemptProgress'
import { verdictOfAttempt } from '@auburnbay/core/verdict/attemptProgress'
import { Verdict } from '@auburnbay/core/verdict/verdict'
import { ConnectionPool } from '@auburnbay/http-utils/connectionPool'
import {
  exchange,
  ExchangeError,
  type ExchangeFailure,
} from '@auburnbay/http-utils/exchange'
import { drainBody } from '@auburnbay/http-utils/drainBody'
import { err, ok, type Result } from 'neverthrow'
import type { Call } from '../callers/call.js'
import type { ResponseHead } from './responseHead.js'
import type { Target } from './target.js'
import type { TargetStatement } from './targetStatement.js'
import { type TargetFailure, TargetFailureCause } from './targetFailure.js'
import type { TargetRequestOptions, TargetProtocol } from './targetProtocol.js'

/** A target's response, with its body not read yet. */
export interface TargetResponse {
  readonly head: ResponseHead
  readonly res: IncomingMessage
  /** Software version of the target; absent if a peer of an older release relays the response. */
  readonly softwareVersion?: string
}

/** One send of a call. */
export interface TargetSend {
  readonly call: Call
  readonly options: TargetRequestOptions
  readonly signal: AbortSignal
  /** Milliseconds to wait for the first byte of the response. */
  readonly headerTimeoutMs: number
}

/** Sends requests to targets. */
export interface TargetClient {
  send(send: TargetSend): Promise<Result<TargetResponse, TargetFailure>>
  /** Closes idle connections to a target and lets the others carry no further request. */
  retireConnections(target: Target): void
  close(): void
}

/** Options for {@link createTargetClient}. */
export interface TargetClientOptions {
  readonly protocol: TargetProtocol
  readonly connectTimeoutMs: number
  /** Milliseconds that an idle connection is kept open. */
  readonly keepAliveTimeoutMs: number
  /** Called with what a target says of itself in a response. */
  readonly onStatement: (target: Target, statement: TargetStatement) => void
  /** Whether a target accepts requests; asked as a request is written. */
  readonly acceptsRequests: (target: Target) => boolean
}

const CAUSES: Readonly<Record<ExchangeError, TargetFailureCause>> = {
  [ExchangeError.Broken]: TargetFailureCause.Broken,
  [ExchangeError.TimedOut]: TargetFailureCause.TimedOut,
  [ExchangeError.Aborted]: TargetFailureCause.Aborted,
  [ExchangeError.Withheld]: TargetFailureCause.Withheld,
}

/** Statuses that tell a caller that its request has not run; a target may send them after a run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 429, 503])
/** Causes for which the connections of a target are not used again. */
const DISTRUSTED: ReadonlySet<TargetFailureCause> = new Set([
  TargetFailureCause.ForeignResponse,
  TargetFailureCause.Unsigned,
])
const SUCCESS_FROM = 200
const SUCCESS_BELOW = 300

function toTargetFailure(failure: ExchangeFailure): TargetFailure {
  const { error, progress, message } = failure
  const isUnsent = progress === AttemptProgress.NothingWritten
  const isUnreachable =
    isUnsent &&
    error !== ExchangeError.Aborted &&
    error !== ExchangeError.Withheld
  const cause = isUnreachable ? TargetFailureCause.Unreachable : CAUSES[error]
  return { verdict: verdictOfAttempt(progress), cause, message }
}

function findFailure(head: ResponseHead): TargetFailure | undefined {
  const { status } = head
  const message = `target responded with status ${status}`
  if (!head.isForRequest)
    return {
      verdict: Verdict.MayHaveRun,
      cause: TargetFailureCause.ForeignResponse,
      message,
    }
  if (head.wrongTarget)
    return {
      verdict: Verdict.NotRun,
      cause: TargetFailureCause.WrongTarget,
      message,
    }
  if (head.notRun)
    return {
      verdict: Verdict.NotRun,
      cause: TargetFailureCause.Refused,
      message,
    }
  if (NOT_RUN_STATUSES.has(status))
    return {
      verdict: Verdict.MayHaveRun,
      cause: Number.isFinite(head.statement?.pauseS)
        ? TargetFailureCause.TurnedAway
        : TargetFailureCause.Unstated,
      message,
    }
  const isSuccess = status >= SUCCESS_FROM && status < SUCCESS_BELOW
  if (!isSuccess || head.signed) return undefined
  return {
    verdict: Verdict.MayHaveRun,
    cause: TargetFailureCause.Unsigned,
    message,
  }
}

/** Creates a client that reuses connections. */
export function createTargetClient(options: TargetClientOptions): TargetClient {
  const { protocol, connectTimeoutMs, keepAliveTimeoutMs } = options
  const agent = new ConnectionPool(keepAliveTimeoutMs)
  const addressOf = ({ host, port }: Target) => `${host}:${port}`

  async function send({
    call,
    options: requestOptions,
    signal,
    headerTimeoutMs,
  }: TargetSend): Promise<Result<TargetResponse, TargetFailure>> {
    const { target } = requestOptions
    const address = addressOf(target)
    let isReused = false
    const result = await exchange({
      url: `http://${address}`,
      path: call.path,
      method: call.method,
      headers: protocol.requestHeaders(call.rawHeaders, requestOptions),
      body: call.body,
      signal,
      agent,
      limits: { connectTimeoutMs, firstByteTimeoutMs: headerTimeoutMs },
      onSocket: (socket) => {
        isReused = agent.recordConnection(socket, address)
      },
      mayWrite: () => options.acceptsRequests(target),
    })
    if (result.isErr()) {
      // If one connection is half-open, the others to the target may be too.
      if (result.error.error === ExchangeError.TimedOut)
        agent.retireConnections(address)
      return err(toTargetFailure(result.error))
    }
    const res = result.value
    const head = protocol.decodeHead(res, call.request.attemptId, isReused)
    if (head.statement) options.onStatement(target, head.statement)
    const failure = findFailure(head)
    if (!failure)
      return ok({ head, res, softwareVersion: target.softwareVersion })
    if (!DISTRUSTED.has(failure.cause)) drainBody(res)
    else {
      res.destroy()
      agent.retireConnections(address)
    }
    return err(failure)
  }

  return {
    send,
    retireConnections(target) {
      agent.retireConnections(addressOf(target))
    },
    close() {
      agent.destroy()
    },
  }
}
