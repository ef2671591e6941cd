import { randomUUID } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import { type ListenAddress, sendJson } from '@auburnbay/http-utils'
import { LOG_READ_LIMIT } from '../constants.js'
import { createStandIn, type StandInRequest } from '../server/createStandIn.js'
import type { StandIn } from '../server/standIn.js'
import { createLogFaults, type LogFaults } from './logFaults.js'
import { LogStream } from './logStream.js'

/** Stand-in for the log service. */
export interface LogServiceStandIn extends StandIn {
  readonly faults: LogFaults
  /** Returns a stream; creates it on first use. */
  stream(name: string): LogStream
  /** Replaces the log by an empty one with a new identity. */
  replace(): void
}

const STREAM_PATH = /^\/streams\/([\w.-]+)\/records$/

/** Starts a stand-in for the platform's log service. */
export async function createLogService(
  address?: ListenAddress,
  now: () => number = Date.now,
): Promise<LogServiceStandIn> {
  const faults = createLogFaults()
  const streams = new Map<string, LogStream>()
  let logId = randomUUID()

  function stream(name: string): LogStream {
    const existing = streams.get(name)
    if (existing) return existing
    const created = new LogStream(now)
    streams.set(name, created)
    return created
  }

  function append(call: StandInRequest, target: LogStream): void {
    const { records } = call.body as { records: unknown[] }
    const firstOffset = target.append(records)
    if (faults.loseReplies > 0) {
      faults.loseReplies -= 1
      call.res.destroy()
      return
    }
    sendJson(call.res, 200, { logId, firstOffset })
  }

  async function read(call: StandInRequest, target: LogStream): Promise<void> {
    const from = Number(call.url.searchParams.get('from') ?? 0)
    const limit = Number(call.url.searchParams.get('limit') ?? LOG_READ_LIMIT)
    const waitMs = Number(call.url.searchParams.get('waitMs') ?? 0)
    if (waitMs > 0 && from >= target.nextOffset)
      await target.waitForAppend(waitMs)
    const { firstOffset, nextOffset } = target
    sendJson(call.res, 200, {
      logId,
      firstOffset,
      nextOffset,
      records: target.read(from, Math.min(limit, LOG_READ_LIMIT)),
    })
  }

  async function handle(call: StandInRequest): Promise<void> {
    const { method, url, res, body } = call
    if (method === 'PUT' && url.pathname === '/faults') {
      Object.assign(faults, body)
      sendJson(res, 200, faults)
      return
    }
    if (faults.silent) return
    if (faults.delayMs > 0) await sleep(faults.delayMs)
    if (faults.outage) {
      sendJson(res, 503, { error: 'the log service is down' })
      return
    }
    const name = STREAM_PATH.exec(url.pathname)?.[1]
    if (name === undefined) sendJson(res, 404, { error: 'unknown path' })
    else if (method === 'POST') append(call, stream(name))
    else await read(call, stream(name))
  }

  const standIn = await createStandIn(handle, address)
  return {
    ...standIn,
    faults,
    stream,
    replace: () => {
      streams.clear()
      logId = randomUUID()
    },
  }
}
