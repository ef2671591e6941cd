import { Agent } from 'node:http'
import {
  type RequestError,
  type JsonResponse,
  requestJson,
} from '@auburnbay/http-utils'
import { guardIdleConnection } from '@auburnbay/http-utils/guardIdleConnection'
import { err, ok, type Result } from 'neverthrow'
import { z } from 'zod'
import { LOG_CALL_TIMEOUT_MS } from '../constants.js'
import type { Agents } from '../security/createAgents.js'
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

/**
 * Creates a client of the log service at `baseUrl`. Responses do not name their
 * request, so each append has a connection of its own: a late copy of another
 * response must not decide which claim was first.
 */
export function createLogClient(
  baseUrl: string,
  agents: Pick<Agents, 'log' | 'logAppends'> = {
    log: new Agent({ keepAlive: true }),
    logAppends: new Agent({ keepAlive: false }),
  },
): LogClient {
  const urlOf = (stream: string): string =>
    `${baseUrl}/streams/${stream}/records`
  return {
    async append(stream, values) {
      const result = await requestJson({
        method: 'POST',
        url: urlOf(stream),
        body: { records: values },
        headers: { connection: 'close' },
        timeoutMs: LOG_CALL_TIMEOUT_MS,
        agent: agents.logAppends,
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
        agent: agents.log,
        onSocket: guardIdleConnection,
      })
      const page = parseResponse(result, pageResponse, false)
      return page.isOk() ? ok(page.value) : err(page.error)
    },
  }
}
