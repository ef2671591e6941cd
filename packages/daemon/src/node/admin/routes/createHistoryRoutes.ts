import { redactOperations, Role } from '@auburnbay/core'
import { z } from 'zod'
import { AdminErrorCode } from '../adminErrorCode.js'
import type { AdminServerOptions } from '../adminServerOptions.js'
import { createErrorResponse, createResponse } from '../adminResponses.js'
import type { AdminResponse, AdminRoute } from '../adminRoute.js'
import { type HistoryEntry, readHistory } from '../readHistory.js'
import { parseBody } from '../parseBody.js'

/** Number of history entries returned by default. */
const DEFAULT_LIMIT = 20
const nonNegativeIntSchema = z.coerce.number().int().min(0)
const historyQuerySchema = z.object({
  limit: nonNegativeIntSchema.default(DEFAULT_LIMIT),
})
const diffQuerySchema = z.object({
  from: nonNegativeIntSchema,
  to: nonNegativeIntSchema.optional(),
})

function redactEntry(entry: HistoryEntry) {
  return { ...entry, operations: redactOperations(entry.operations) }
}

/** Routes that show the changes still on the log, with their authors. */
export function createHistoryRoutes({
  log,
  tailer,
}: AdminServerOptions): AdminRoute[] {
  async function withHistory(
    from: number,
    respond: (
      entries: readonly HistoryEntry[],
      complete: boolean,
    ) => AdminResponse,
  ): Promise<AdminResponse> {
    const history = await readHistory(log, tailer, from)
    if (history.isOk())
      return respond(history.value.entries, history.value.complete)
    const message = `${history.error.message}; the history stands on the log, try again when it is back`
    return createErrorResponse(AdminErrorCode.LogUnavailable, message)
  }

  return [
    {
      method: 'GET',
      path: '/config/history',
      role: Role.Viewer,
      handle: ({ query }) => {
        const parsed = parseBody(historyQuerySchema, Object.fromEntries(query))
        if (parsed.isErr()) return parsed.error
        const from = Math.max(0, tailer.state.version - parsed.value.limit)
        return withHistory(from, (entries, complete) =>
          createResponse({
            entries: entries.map(redactEntry).reverse(),
            complete,
          }),
        )
      },
    },
    {
      method: 'GET',
      path: '/config/diff',
      role: Role.Viewer,
      handle: ({ query }) => {
        const parsed = parseBody(diffQuerySchema, Object.fromEntries(query))
        if (parsed.isErr()) return parsed.error
        const { from, to = tailer.state.version } = parsed.value
        if (from > to || to > tailer.state.version) {
          const message = `versions 0 to ${tailer.state.version} exist; name from and to in this order`
          return createErrorResponse(AdminErrorCode.BadRequest, message)
        }
        return withHistory(from, (entries) => {
          const changes = entries.filter((entry) => entry.version <= to)
          if (changes.length === to - from)
            return createResponse({
              from,
              to,
              changes: changes.map(redactEntry),
            })
          const oldest = entries[0]?.version ?? tailer.state.version
          const message = `the log no longer holds the changes since version ${from}; the oldest kept led to version ${oldest}`
          return createErrorResponse(AdminErrorCode.NotFound, message)
        })
      },
    },
  ]
}
