import type { IncomingMessage } from 'node:http'
import {
  AttemptProgress,
  REQUEST_ID_HEADER,
  ServiceKind,
} from '@auburnbay/core'
import { LRUCache } from 'lru-cache'
import type { RoutedRequest } from '../callers/routedRequest.js'
import {
  MAX_ECHOING_TARGETS,
  REFUSED_HEADER,
  RUN_ID_HEADER,
} from './constants.js'

const REFUSED_BEFORE_RUNNING = 'before-running'
const FIRST_ERROR_STATUS = 400

/** An answer that is not passed on, and how far its request came. */
export interface RejectedResponse {
  readonly progress: AttemptProgress
  readonly message: string
}

/** Tells a request's own answer from a refusal and from another's answer. */
export interface ResponseValidator {
  /** Returns why the answer is not passed on, or undefined. */
  check(
    targetId: string,
    request: RoutedRequest,
    reply: IncomingMessage,
  ): RejectedResponse | undefined
}

/** Creates the check; it remembers which engines echo identities. */
export function createResponseValidator(): ResponseValidator {
  const echoing = new LRUCache<string, true>({ max: MAX_ECHOING_TARGETS })

  function isForeign(
    targetId: string,
    request: RoutedRequest,
    reply: IncomingMessage,
  ): boolean {
    const echoed = reply.headers[REQUEST_ID_HEADER]
    if (echoed !== undefined) return echoed !== request.id
    // Proxies and parsers in front of an engine answer errors without an echo.
    const status = reply.statusCode ?? 0
    if (status >= FIRST_ERROR_STATUS) return false
    return request.serviceKind === ServiceKind.Model && echoing.has(targetId)
  }

  return {
    check(targetId, request, reply) {
      const { headers, statusCode = 0 } = reply
      if (
        headers[REFUSED_HEADER] === REFUSED_BEFORE_RUNNING &&
        statusCode >= FIRST_ERROR_STATUS
      ) {
        const message = 'the target refused the request before running it'
        return { progress: AttemptProgress.Refused, message }
      }
      if (isForeign(targetId, request, reply)) {
        const message = 'the target answered another request'
        return { progress: AttemptProgress.Written, message }
      }
      if (headers[REQUEST_ID_HEADER] !== undefined) echoing.set(targetId, true)
      return undefined
    },
  }
}

/** Returns the identity of the run that an engine's answer belongs to. */
export function runIdOf(reply: {
  readonly headers: IncomingMessage['headers']
}): string | undefined {
  const value = reply.headers[RUN_ID_HEADER]
  return Array.isArray(value) ? value[0] : value
}
