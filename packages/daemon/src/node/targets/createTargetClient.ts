import { Agent, type ClientRequest, request } from 'node:http'
import {
  FailureCode,
  REQUEST_ID_HEADER,
  type RequestFailure,
  Verdict,
} from '@auburnbay/core'
import { err, ok, type Result } from 'neverthrow'
import { createFailure } from '../callers/createFailure.js'
import type { RoutedRequest } from '../callers/routedRequest.js'
import type { ResolvedSettings } from '../settings/settingsSchema.js'
import { headersToTarget } from './forwardedHeaders.js'
import type { TargetAddress, TargetClient } from './targetClient.js'
import type { TargetReply } from './targetReply.js'

const REFUSED_HEADER = 'x-refused'
const REFUSED_BEFORE_RUNNING = 'before-running'

function openRequest(
  agent: Agent,
  target: TargetAddress,
  routed: RoutedRequest,
  traceHeaders: Record<string, string>,
): ClientRequest {
  return request(`http://${target.address}${routed.path}`, {
    agent,
    method: routed.method,
    signal: routed.signal,
    headers: {
      ...headersToTarget(routed.headers),
      ...traceHeaders,
      [REQUEST_ID_HEADER]: routed.id,
      'content-length': routed.body.length,
    },
  })
}

function checkReply(
  routed: RoutedRequest,
  reply: TargetReply,
): Result<TargetReply, RequestFailure> {
  const echoed = reply.headers[REQUEST_ID_HEADER]
  if (reply.headers[REFUSED_HEADER] === REFUSED_BEFORE_RUNNING) {
    reply.body.destroy()
    const message = 'the target refused the request before running it'
    return err(createFailure(FailureCode.TargetFailed, message))
  }
  if (echoed === undefined || echoed === routed.id) return ok(reply)
  reply.body.destroy()
  const message = 'the target answered another request'
  return err(
    createFailure(FailureCode.TargetFailed, message, Verdict.MayHaveRun),
  )
}

/** Creates the client for requests to targets. */
export function createTargetClient(
  settings: ResolvedSettings['targets'],
): TargetClient {
  const agent = new Agent({ keepAlive: true })

  function send(
    target: TargetAddress,
    routed: RoutedRequest,
    traceHeaders: Record<string, string>,
  ): Promise<Result<TargetReply, RequestFailure>> {
    return new Promise((resolve) => {
      let written = false
      const req = openRequest(agent, target, routed, traceHeaders)
      const connectTimer = setTimeout(() => {
        req.destroy(new Error('connecting took too long'))
      }, settings.connectTimeoutMs)
      req.setTimeout(settings.firstByteTimeoutMs, () => {
        req.destroy(new Error('the target sent nothing'))
      })
      req.once('socket', (socket) => {
        const connected = (): void => {
          clearTimeout(connectTimer)
          written = true
          req.end(routed.body)
        }
        if (socket.connecting) socket.once('connect', connected)
        else connected()
      })
      req.once('error', (error) => {
        clearTimeout(connectTimer)
        const verdict = written ? Verdict.MayHaveRun : Verdict.NotRun
        const message = `${target.id}: ${error.message}`
        resolve(
          err(createFailure(FailureCode.TargetUnreachable, message, verdict)),
        )
      })
      req.once('response', (res) => {
        res.setTimeout(settings.idleTimeoutMs, () => {
          res.destroy(new Error('the target went silent'))
        })
        const reply = {
          status: res.statusCode ?? 0,
          headers: res.headers,
          body: res,
        }
        resolve(checkReply(routed, reply))
      })
    })
  }

  return {
    send,
    close: () => {
      agent.destroy()
    },
  }
}
