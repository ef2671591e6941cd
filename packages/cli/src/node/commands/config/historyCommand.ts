import { command, number, option } from 'cmd-ts'
import { type Row } from '../../output/table.js'
import { connectionArgs } from '../connectionArgs.js'
import { createTableFormatter, runRequest } from '../runRequest.js'

const DEFAULT_LIMIT = 20

interface HistoryEntry {
  readonly version: number
  readonly author: string
  readonly atMs: number
  readonly operations: readonly { op: string; path: string }[]
}

/** Converts a history entry into a table row. */
export function toHistoryRow(value: unknown): Row {
  const { version, author, atMs, operations } = value as HistoryEntry
  const changes = operations.map(({ op, path }) => `${op} ${path}`)
  const at = new Date(atMs).toISOString()
  return { version, author, at, changes: changes.join('\n') }
}

/** Columns of a table of history entries. */
export const historyColumns = [
  { title: 'VERSION', field: 'version', right: true },
  { title: 'AT', field: 'at' },
  { title: 'AUTHOR', field: 'author' },
  { title: 'CHANGES', field: 'changes' },
]

/** Shows the newest changes. */
export const historyCommand = command({
  name: 'history',
  description: 'Show the newest changes with their authors.',
  args: {
    ...connectionArgs,
    limit: option({
      long: 'limit',
      type: number,
      defaultValue: () => DEFAULT_LIMIT,
      description: 'most changes to show',
    }),
  },
  handler: (args) =>
    runRequest(
      args,
      { path: `/config/history?limit=${args.limit}` },
      (body) => {
        const { entries } = body as { entries: readonly unknown[] }
        return createTableFormatter(historyColumns)(entries.map(toHistoryRow))
      },
    ),
})
