import { Agent } from 'node:http'
import {
  type RequestError,
  type JsonResponse,
  requestJson,
} from '@auburnbay/http-utils'
import { err, ok, type Result } from 'neverthrow'
import { z } from 'zod'
import { LOG_CALL_TIMEOUT_MS } from '../constants.js'
import type { LogClient, LogError } from './logClient.js'

const appendReply = z.object({ firstOffset: z.int().min(0) })
const pageReply = z.object({
  logId: z.string(),
  firstOffset: z.int().min(0),
  nextOffset: z.int().min(0),
  records: z.array(
    z.object({ offset: z.int(), atMs: z.number(), value: z.unknown() }),
  ),
})

function check<T>(
  reply: Result<JsonResponse, RequestError>,
  schema: z.ZodType<T>,
  writes: boolean,
): Result<T, LogError> {
  if (reply.isErr())
    return err({ message: reply.error.message, mayHaveTakenEffect: writes })
  const { status, body } = reply.value
  if (status !== 200) {
    const message = `the log service answered ${status}`
    return err({ message, mayHaveTakenEffect: writes && status !== 503 })
  }
  const parsed = schema.safeParse(body)
  if (parsed.success) return ok(parsed.data)
  const message = 'the log service sent an answer of another form'
  return err({ message, mayHaveTakenEffect: writes })
}

/** Creates a client of the log service at `baseUrl`. */
export function createLogClient(
  baseUrl: string,
  agent: Agent = new Agent({ keepAlive: true }),
): LogClient {
  const url = (stream: string): string => `${baseUrl}/streams/${stream}/records`
  return {
    async append(stream, values) {
      const reply = await requestJson({
        method: 'POST',
        url: url(stream),
        body: { records: values },
        timeoutMs: LOG_CALL_TIMEOUT_MS,
        agent,
      })
      return check(reply, appendReply, true).map((body) => body.firstOffset)
    },
    async read(stream, from, waitMs = 0, limit) {
      const upTo = limit === undefined ? '' : `&limit=${limit}`
      const reply = await requestJson({
        method: 'GET',
        url: `${url(stream)}?from=${from}&waitMs=${waitMs}${upTo}`,
        timeoutMs: LOG_CALL_TIMEOUT_MS + waitMs,
        agent,
      })
      const page = check(reply, pageReply, false)
      return page.isOk() ? ok(page.value) : err(page.error)
    },
  }
}
