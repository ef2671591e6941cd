import {
  type Agent,
  type IncomingMessage,
  type OutgoingHttpHeaders,
  request,
} from 'node:http'
import type { Socket } from 'node:net'
import { AttemptProgress } from '@auburnbay/core/verdict/attemptProgress'
import { err, ok, type Result } from 'neverthrow'
import { pauseBetweenReads } from './pauseBetweenReads.js'

/** How long a target may take. */
export interface ExchangeLimits {
  readonly connectTimeoutMs: number
  /** Milliseconds until the first byte of an answer. */
  readonly firstByteTimeoutMs: number
}

/** One request on one connection. */
export interface ExchangeOptions {
  readonly url: string
  /** Sent as it is; without it the path of `url`. */
  readonly path?: string
  readonly method: string
  /** Fields, or names and values alternating, sent as they are. */
  readonly headers: OutgoingHttpHeaders | readonly string[]
  readonly body: Buffer
  readonly signal: AbortSignal
  readonly agent: Agent
  readonly limits: ExchangeLimits
  readonly onSocket?: (socket: Socket) => void
}

/** Why no answer came. */
export enum ExchangeError {
  /** The connection could not be opened, broke or sent no valid HTTP. */
  Broken = 'broken',
  /** The target was silent beyond a limit. */
  TimedOut = 'silent',
  /** The caller went away or the deadline passed. */
  Aborted = 'aborted',
}

/** A request without an answer. */
export interface ExchangeFailure {
  readonly error: ExchangeError
  readonly progress: AttemptProgress
  /** Whether the connection had carried an earlier request. */
  readonly reusedConnection: boolean
  readonly message: string
}

function hasLength(res: IncomingMessage): boolean {
  const { headers } = res
  return (
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  )
}

/** Sends a request and resolves with the head of its answer. */
export function exchange(
  call: ExchangeOptions,
): Promise<Result<IncomingMessage, ExchangeFailure>> {
  const { url, path, method, headers, body, signal, agent, limits } = call
  return new Promise((resolve) => {
    let progress = AttemptProgress.NothingWritten
    let timer: NodeJS.Timeout | undefined
    let silent = false
    let answer: IncomingMessage | undefined
    const req = request(url, {
      agent,
      method,
      signal,
      headers,
      ...(path !== undefined && { path }),
    })

    function limit(ms: number, message: string): void {
      clearTimeout(timer)
      timer = setTimeout(() => {
        silent = true
        req.destroy(new Error(message))
      }, ms)
    }

    function errorKind(): ExchangeError {
      if (silent) return ExchangeError.TimedOut
      return signal.aborted ? ExchangeError.Aborted : ExchangeError.Broken
    }

    function fail(message: string): void {
      clearTimeout(timer)
      const { reusedSocket: reusedConnection } = req
      const error = errorKind()
      resolve(err({ error, progress, reusedConnection, message }))
    }

    function write(): void {
      if (req.destroyed) return
      limit(limits.firstByteTimeoutMs, 'the target sent no answer in time')
      progress = AttemptProgress.Written
      req.end(body)
    }

    limit(limits.connectTimeoutMs, 'connecting took too long')
    req.once('socket', (socket) => {
      call.onSocket?.(socket)
      if (socket.connecting) socket.once('connect', write)
      else write()
    })
    req.on('error', (error) => {
      // A reset would otherwise pass for the end of a body without a length.
      answer?.destroy(error)
      fail(error.message)
    })
    // An answer that switches protocols ends without `response` or `error`.
    req.once('close', () => {
      fail('the connection closed without an answer')
    })
    req.once('response', (res) => {
      clearTimeout(timer)
      answer = res
      if (!hasLength(res)) pauseBetweenReads(res.socket)
      // Errors reach whoever reads the body; there may be no reader yet.
      res.on('error', () => undefined)
      resolve(ok(res))
    })
  })
}
