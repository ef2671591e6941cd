import { redactOperations, Role } from '@auburnbay/core'
import { z } from 'zod'
import { AdminErrorCode } from '../adminErrorCode.js'
import type { AdminParts } from '../adminParts.js'
import { refuse, reply } from '../adminReplies.js'
import type { AdminReply, AdminRoute } from '../adminRoute.js'
import { type HistoryEntry, readHistory } from '../configurationHistory.js'
import { parseBody } from '../parseBody.js'

const DEFAULT_HISTORY = 20
const version = z.coerce.number().int().min(0)
const historyQuery = z.object({ limit: version.default(DEFAULT_HISTORY) })
const diffQuery = z.object({ from: version, to: version.optional() })

function show(entry: HistoryEntry) {
  return { ...entry, operations: redactOperations(entry.operations) }
}

/** Paths that show who changed what, as far back as the log reaches. */
export function createHistoryRoutes({ log, tailer }: AdminParts): AdminRoute[] {
  async function since(
    from: number,
    answer: (entries: readonly HistoryEntry[], complete: boolean) => AdminReply,
  ): Promise<AdminReply> {
    const history = await readHistory(log, tailer, from)
    if (history.isOk())
      return answer(history.value.entries, history.value.complete)
    const message = `${history.error.message}; the history stands on the log, try again when it is back`
    return refuse(AdminErrorCode.LogUnavailable, message)
  }

  return [
    {
      method: 'GET',
      path: '/config/history',
      role: Role.Viewer,
      handle: ({ query }) => {
        const parsed = parseBody(historyQuery, Object.fromEntries(query))
        if (parsed.isErr()) return parsed.error
        const from = Math.max(0, tailer.state.version - parsed.value.limit)
        return since(from, (entries, complete) =>
          reply({ entries: entries.map(show).reverse(), complete }),
        )
      },
    },
    {
      method: 'GET',
      path: '/config/diff',
      role: Role.Viewer,
      handle: ({ query }) => {
        const parsed = parseBody(diffQuery, Object.fromEntries(query))
        if (parsed.isErr()) return parsed.error
        const { from, to = tailer.state.version } = parsed.value
        if (from > to || to > tailer.state.version) {
          const message = `versions 0 to ${tailer.state.version} exist; name from and to in this order`
          return refuse(AdminErrorCode.BadRequest, message)
        }
        return since(from, (entries) => {
          const wanted = entries.filter((entry) => entry.version <= to)
          if (wanted.length === to - from)
            return reply({ from, to, changes: wanted.map(show) })
          const oldest = entries[0]?.version ?? tailer.state.version
          const message = `the log no longer holds the changes since version ${from}; the oldest kept led to version ${oldest}`
          return refuse(AdminErrorCode.NotFound, message)
        })
      },
    },
  ]
}
