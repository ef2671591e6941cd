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

const appendResponse = z.object({ firstOffset: z.int().min(0) })
const pageResponse = z.object({
  logId: z.string(),
  firstOffset: z.int().min(0),
  nextOffset: z.int().min(0),
  records: z.array(
    z.object({ offset: z.int(), atMs: z.number(), value: z.unknown() }),
  ),
})

function parseResponse<T>(
  result: Result<JsonResponse, RequestError>,
  schema: z.ZodType<T>,
  isWrite: boolean,
): Result<T, LogError> {
  if (result.isErr())
    return err({ message: result.error.message, mayHaveTakenEffect: isWrite })
  const { status, body } = result.value
  if (status !== 200) {
    const message = `the log service answered ${status}`
    return err({ message, mayHaveTakenEffect: isWrite && status !== 503 })
  }
  const parsed = schema.safeParse(body)
  if (parsed.success) return ok(parsed.data)
  const message = 'the log service sent an answer of another form'
  return err({ message, mayHaveTakenEffect: isWrite })
}

/** Creates a client of the log service at `baseUrl`. */
export function createLogClient(
  baseUrl: string,
  agent: Agent = new Agent({ keepAlive: true }),
): LogClient {
  const urlOf = (stream: string): string =>
    `${baseUrl}/streams/${stream}/records`
  return {
    async append(stream, values) {
      const result = await requestJson({
        method: 'POST',
        url: urlOf(stream),
        body: { records: values },
        timeoutMs: LOG_CALL_TIMEOUT_MS,
        agent,
      })
      return parseResponse(result, appendResponse, true).map(
        (body) => body.firstOffset,
      )
    },
    async read(stream, from, waitMs = 0, limit) {
      const limitParam = limit === undefined ? '' : `&limit=${limit}`
      const result = await requestJson({
        method: 'GET',
        url: `${urlOf(stream)}?from=${from}&waitMs=${waitMs}${limitParam}`,
        timeoutMs: LOG_CALL_TIMEOUT_MS + waitMs,
        agent,
      })
      const page = parseResponse(result, pageResponse, false)
      return page.isOk() ? ok(page.value) : err(page.error)
    },
  }
}
