import { command, option, string } from 'cmd-ts'
import { formatTable, type Row } from '../../output/table.js'
import { connectionArgs } from '../connectionArgs.js'
import { runRequest } from '../runRequest.js'

interface Explanation {
  readonly router: string
  readonly rank: number
  readonly hintSource: string
  readonly hintedTarget?: string
  readonly home?: string
  readonly candidates: readonly Row[]
  readonly chosen?: string
}

function format(body: unknown): string {
  const why = body as Explanation
  const hinted = why.hintedTarget === undefined ? '' : `, ${why.hintedTarget}`
  const table = formatTable(
    [
      { title: 'CANDIDATE', field: 'id' },
      { title: 'LOAD', field: 'load', right: true },
      { title: 'BOUND', field: 'bound', right: true },
      { title: 'ELIGIBLE', field: 'eligible' },
    ],
    why.candidates,
  )
  return [
    `As ${why.router} sees it:`,
    `rank    ${why.rank}`,
    `hint    ${why.hintSource}${hinted}`,
    `home    ${why.home ?? '-'}`,
    `chosen  ${why.chosen ?? 'none: no candidate can take the request'}`,
    '',
    table,
  ].join('\n')
}

const text = (long: string, description: string) =>
  option({ long, type: string, defaultValue: () => '', description })

/** Shows why a request would go where it would go. */
export const explainCommand = command({
  name: 'explain',
  description: 'Show why a request would go where it would go.',
  examples: [
    {
      description: 'a returning chat of one customer',
      command:
        'auburnbay explain --service briefing --customer corrib --chat voyage-17',
    },
  ],
  args: {
    ...connectionArgs,
    service: option({ long: 'service', type: string }),
    customer: text('customer', 'customer that asks'),
    chat: text('chat', 'chat of the request'),
    kind: text('kind', 'kind of the request, which rules rank'),
  },
  handler: ({ service, customer, chat, kind, ...connection }) => {
    const query = new URLSearchParams({ service, customer, chat, kind })
    return runRequest(
      connection,
      { path: `/explain?${query.toString()}` },
      format,
    )
  },
})
