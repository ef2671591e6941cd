import {
  type Agent,
  type ClientRequest,
  type IncomingMessage,
  type OutgoingHttpHeaders,
  request,
} from 'node:http'
import type { Socket } from 'node:net'
import { AttemptProgress } from '@auburnbay/core/verdict/attemptProgress'
import { err, ok, type Result } from 'neverthrow'
import { findHeaderFault } from './findHeaderFault.js'
import { hasLength } from './hasLength.js'
import { pauseBetweenReads } from './pauseBetweenReads.js'

/** Timeouts of an exchange. */
export interface ExchangeLimits {
  readonly connectTimeoutMs: number
  /** Time until the response headers, in milliseconds. */
  readonly firstByteTimeoutMs: number
}

/** Options for {@link exchange}. */
export interface ExchangeOptions {
  readonly url: string
  /** Sent without normalisation; defaults to the path of `url`. */
  readonly path?: string
  readonly method: string
  /** Headers as an object or as alternating names and values, sent unchanged. */
  readonly headers: OutgoingHttpHeaders | readonly string[]
  readonly body: Buffer
  readonly signal: AbortSignal
  readonly agent: Agent
  readonly limits: ExchangeLimits
  readonly onSocket?: (socket: Socket) => void
  /**
   * Asked when a connection is there, just before the request is written.
   * @default always true
   */
  readonly mayWrite?: () => boolean
}

/** Why an exchange got no response. */
export enum ExchangeError {
  /** The connection failed, was closed or carried invalid HTTP. */
  Broken = 'broken',
  /** The target exceeded a timeout. */
  TimedOut = 'silent',
  /** Aborted by the signal: the caller disconnected or the deadline passed. */
  Aborted = 'aborted',
  /** Not written, as {@link ExchangeOptions.mayWrite} did not allow it. */
  Withheld = 'withheld',
}

/** A request without a response. */
export interface ExchangeFailure {
  readonly error: ExchangeError
  readonly progress: AttemptProgress
  /** Whether the connection was reused from an earlier request. */
  readonly reusedConnection: boolean
  readonly message: string
}

/** Lowest status of a final response. */
const MIN_FINAL_STATUS = 200
/** Highest status that HTTP defines. */
const MAX_STATUS = 599
/** Interim responses after which a response counts as broken. */
const MAX_INTERIM_RESPONSES = 32

/** Returns why a response head cannot be forwarded; undefined if it can. */
function findHeadFault({
  statusCode = 0,
  rawHeaders,
}: IncomingMessage): string | undefined {
  if (statusCode < MIN_FINAL_STATUS || statusCode > MAX_STATUS)
    return `the response has the status ${statusCode}`
  return findHeaderFault(rawHeaders)
}

/**
 * Breaks off a response without a length whose connection ends before the request is
 * written: the end may be that of a target that failed, which a reset follows.
 */
function breakEarlyEnd(req: ClientRequest, res: IncomingMessage): void {
  // Before the parser's own listener, which takes the end for that of the response.
  res.socket.prependOnceListener('end', () => {
    if (!req.writableFinished)
      res.destroy(new Error('the connection ended before the request'))
  })
}

/** Sends a request and resolves once the response headers arrive; an invalid URL is a failure like any other. */
export function exchange(
  options: ExchangeOptions,
): Promise<Result<IncomingMessage, ExchangeFailure>> {
  return startExchange(options).catch((error: unknown) =>
    err({
      error: ExchangeError.Broken,
      progress: AttemptProgress.NothingWritten,
      reusedConnection: false,
      message: String(error),
    }),
  )
}

/** Rejects if no request can be created for the URL. */
function startExchange(
  options: ExchangeOptions,
): Promise<Result<IncomingMessage, ExchangeFailure>> {
  const { url, path, method, headers, body, signal, agent, limits } = options
  return new Promise((resolve) => {
    let progress = AttemptProgress.NothingWritten
    let timer: NodeJS.Timeout | undefined
    let timedOut = false
    let isWithheld = false
    let response: IncomingMessage | undefined
    const req = request(url, {
      agent,
      method,
      signal,
      headers,
      ...(path !== undefined && { path }),
    })

    function startTimeout(ms: number, message: string): void {
      clearTimeout(timer)
      timer = setTimeout(() => {
        timedOut = true
        req.destroy(new Error(message))
      }, ms)
    }

    function classifyError(): ExchangeError {
      if (isWithheld) return ExchangeError.Withheld
      if (timedOut) return ExchangeError.TimedOut
      return signal.aborted ? ExchangeError.Aborted : ExchangeError.Broken
    }

    function fail(message: string): void {
      clearTimeout(timer)
      const { reusedSocket: reusedConnection } = req
      const error = classifyError()
      resolve(err({ error, progress, reusedConnection, message }))
    }

    function write(): void {
      if (req.destroyed) return
      if (options.mayWrite?.() === false) {
        isWithheld = true
        req.destroy(new Error('the request was withheld'))
        return
      }
      startTimeout(
        limits.firstByteTimeoutMs,
        'the target sent no answer in time',
      )
      progress = AttemptProgress.Written
      req.end(body)
    }

    startTimeout(limits.connectTimeoutMs, 'connecting took too long')
    req.once('socket', (socket) => {
      options.onSocket?.(socket)
      if (socket.connecting) socket.once('connect', write)
      else write()
    })
    req.on('error', (error) => {
      // Otherwise a reset looks like the end of a body without a length.
      response?.destroy(error)
      fail(error.message)
    })
    // A response that switches protocols emits neither `response` nor `error`.
    req.once('close', () => {
      fail('the connection closed without an answer')
    })
    let interimResponses = 0
    req.on('information', () => {
      interimResponses += 1
      if (interimResponses > MAX_INTERIM_RESPONSES)
        req.destroy(new Error('the target sent too many interim responses'))
    })
    req.once('response', (res) => {
      clearTimeout(timer)
      response = res
      // The reader of the body gets the error; before there is one, it must not be unhandled.
      res.on('error', () => undefined)
      const fault = findHeadFault(res)
      if (fault !== undefined) {
        res.destroy()
        fail(fault)
        return
      }
      if (!hasLength(res)) {
        pauseBetweenReads(res.socket)
        breakEarlyEnd(req, res)
      }
      resolve(ok(res))
    })
  })
}
