import { command, number, option, optional } from 'cmd-ts'
import { connectionArgs } from '../connectionArgs.js'
import { createTableFormatter, runRequest } from '../runRequest.js'
import { historyColumns, toHistoryRow } from './historyCommand.js'

/** Shows what changed between two versions. */
export const diffCommand = command({
  name: 'diff',
  description: 'Show the changes that led from one version to another.',
  examples: [
    {
      description: 'what changed since version 41',
      command: 'auburnbay config diff --from 41',
    },
  ],
  args: {
    ...connectionArgs,
    from: option({ long: 'from', type: number, description: 'older version' }),
    to: option({
      long: 'to',
      type: optional(number),
      description: 'newer version; the current one by default',
    }),
  },
  handler: ({ from, to, ...connection }) => {
    const toParam = to === undefined ? '' : `&to=${to}`
    const path = `/config/diff?from=${from}${toParam}`
    return runRequest(connection, { path }, (body) => {
      const { changes } = body as { changes: readonly unknown[] }
      return createTableFormatter(historyColumns)(changes.map(toHistoryRow))
    })
  },
})
