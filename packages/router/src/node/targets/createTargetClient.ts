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
import { err, ok, type Result } from 'neverthrow'
import type { Call } from '../callers/call.js'
import type { ResponseHead } from './responseHead.js'
import type { Target } from './target.js'
import { type TargetFailure, TargetFailureCause } from './targetFailure.js'
import type { TargetRequestOptions, TargetProtocol } from './targetProtocol.js'

/** A target's answer, its body still to be read. */
export interface TargetResponse {
  readonly head: ResponseHead
  readonly res: IncomingMessage
}

/** One send of a call. */
export interface TargetSend {
  readonly call: Call
  readonly options: TargetRequestOptions
  readonly signal: AbortSignal
  /** Milliseconds until the first byte of the answer. */
  readonly headerTimeoutMs: number
}

/** Sends requests to targets. */
export interface TargetClient {
  send(send: TargetSend): Promise<Result<TargetResponse, TargetFailure>>
  /** Gives up every kept connection to a target. */
  discardConnections(target: Target): void
  close(): void
}

/** How connections to targets are used. */
export interface TargetClientOptions {
  readonly protocol: TargetProtocol
  readonly connectTimeoutMs: number
  /** Milliseconds that a connection is kept without a request. */
  readonly keepAliveTimeoutMs: number
}

const CAUSES: Readonly<Record<ExchangeError, TargetFailureCause>> = {
  [ExchangeError.Broken]: TargetFailureCause.Broken,
  [ExchangeError.TimedOut]: TargetFailureCause.Silent,
  [ExchangeError.Aborted]: TargetFailureCause.Aborted,
}

const SUCCESS_FROM = 200
const SUCCESS_BELOW = 300

function describe(failure: ExchangeFailure): TargetFailure {
  const { error, progress, message } = failure
  const unsent = progress === AttemptProgress.NothingWritten
  const cause =
    unsent && error !== ExchangeError.Aborted
      ? TargetFailureCause.Unreachable
      : CAUSES[error]
  return { verdict: verdictOfAttempt(progress), cause, message }
}

function findFault(head: ResponseHead): TargetFailure | undefined {
  const { status } = head
  const message = `the target answered ${status}`
  if (!head.isForRequest)
    return {
      verdict: Verdict.MayHaveRun,
      cause: TargetFailureCause.ForeignAnswer,
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
  const isSuccess = status >= SUCCESS_FROM && status < SUCCESS_BELOW
  if (!isSuccess || head.signed) return undefined
  return {
    verdict: Verdict.MayHaveRun,
    cause: TargetFailureCause.Unsigned,
    message,
  }
}

/** Creates a client that keeps connections between requests. */
export function createTargetClient(options: TargetClientOptions): TargetClient {
  const { protocol, connectTimeoutMs, keepAliveTimeoutMs: keptIdleMs } = options
  const agent = new ConnectionPool(keptIdleMs)
  const addressOf = ({ host, port }: Target) => `${host}:${port}`

  async function send({
    call,
    options: orders,
    signal,
    headerTimeoutMs: patienceMs,
  }: TargetSend): Promise<Result<TargetResponse, TargetFailure>> {
    const { target } = orders
    const address = addressOf(target)
    const result = await exchange({
      url: `http://${address}`,
      path: call.path,
      method: call.method,
      headers: protocol.requestHeaders(call.rawHeaders, orders),
      body: call.body,
      signal,
      agent,
      limits: { connectTimeoutMs, firstByteTimeoutMs: patienceMs },
      onSocket: (socket) => {
        agent.recordConnection(socket, address)
      },
    })
    if (result.isErr()) {
      // A silent connection says that others of its age may be dead too.
      if (result.error.error === ExchangeError.TimedOut)
        agent.retireConnections(address)
      return err(describe(result.error))
    }
    const res = result.value
    const head = protocol.decodeHead(res, call.request.attemptId)
    const fault = findFault(head)
    if (!fault) return ok({ head, res })
    if (fault.verdict === Verdict.NotRun) res.resume()
    else {
      res.destroy()
      agent.retireConnections(address)
    }
    return err(fault)
  }

  return {
    send,
    discardConnections(target) {
      agent.retireConnections(addressOf(target))
    },
    close() {
      agent.destroy()
    },
  }
}
