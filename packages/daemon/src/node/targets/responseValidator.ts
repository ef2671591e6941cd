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

/** A response that is not forwarded, and how far its request progressed. */
export interface RejectedResponse {
  readonly progress: AttemptProgress
  readonly message: string
}

/** Detects refusals and responses that belong to another request. */
export interface ResponseValidator {
  /**
   * Returns why the response must not be forwarded, or undefined when it may
   * be.
   */
  check(
    targetId: string,
    request: RoutedRequest,
    res: IncomingMessage,
  ): RejectedResponse | undefined
}

/**
 * Creates a validator that records which targets echo request ids. An engine
 * that has echoed one is expected to do so in each successful response.
 */
export function createResponseValidator(): ResponseValidator {
  const echoingTargets = new LRUCache<string, true>({
    max: MAX_ECHOING_TARGETS,
  })

  function isForAnotherRequest(
    targetId: string,
    request: RoutedRequest,
    res: IncomingMessage,
  ): boolean {
    const echoed = res.headers[REQUEST_ID_HEADER]
    if (echoed !== undefined) return echoed !== request.id
    // Proxies and HTTP parsers in front of an engine send errors without the
    // request id.
    const status = res.statusCode ?? 0
    if (status >= FIRST_ERROR_STATUS) return false
    return (
      request.serviceKind === ServiceKind.Model && echoingTargets.has(targetId)
    )
  }

  return {
    check(targetId, request, res) {
      const { headers, statusCode = 0 } = res
      if (
        headers[REFUSED_HEADER] === REFUSED_BEFORE_RUNNING &&
        statusCode >= FIRST_ERROR_STATUS
      ) {
        const message = 'the target refused the request before running it'
        return { progress: AttemptProgress.Refused, message }
      }
      if (isForAnotherRequest(targetId, request, res)) {
        const message = 'the target answered another request'
        return { progress: AttemptProgress.Written, message }
      }
      if (headers[REQUEST_ID_HEADER] !== undefined)
        echoingTargets.set(targetId, true)
      return undefined
    },
  }
}

/** Returns the id of the run that an engine's response belongs to. */
export function runIdOf(res: {
  readonly headers: IncomingMessage['headers']
}): string | undefined {
  const value = res.headers[RUN_ID_HEADER]
  return Array.isArray(value) ? value[0] : value
}
