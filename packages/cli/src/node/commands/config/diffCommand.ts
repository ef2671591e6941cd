import { command, number, option, optional } from 'cmd-ts'
import { connectionArgs } from '../connectionArgs.js'
import { asTable, runCall } from '../runCall.js'
import { historyColumns, historyRow } from './historyCommand.js'

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
      description: 'newer version; the one in force by default',
    }),
  },
  handler: ({ from, to, ...connection }) => {
    const end = to === undefined ? '' : `&to=${to}`
    const path = `/config/diff?from=${from}${end}`
    return runCall(connection, { path }, (body) => {
      const { changes } = body as { changes: readonly unknown[] }
      return asTable(historyColumns)(changes.map(historyRow))
    })
  },
})
