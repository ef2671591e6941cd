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
  const explanation = body as Explanation
  const hinted =
    explanation.hintedTarget === undefined
      ? ''
      : `, ${explanation.hintedTarget}`
  const table = formatTable(
    [
      { title: 'CANDIDATE', field: 'id' },
      { title: 'LOAD', field: 'load', right: true },
      { title: 'BOUND', field: 'bound', right: true },
      { title: 'ELIGIBLE', field: 'eligible' },
    ],
    explanation.candidates,
  )
  return [
    `As ${explanation.router} sees it:`,
    `rank    ${explanation.rank}`,
    `hint    ${explanation.hintSource}${hinted}`,
    `home    ${explanation.home ?? '-'}`,
    `chosen  ${explanation.chosen ?? 'none: no candidate can take the request'}`,
    '',
    table,
  ].join('\n')
}

const textOption = (long: string, description: string) =>
  option({ long, type: string, defaultValue: () => '', description })

/** Explains the target selection for a request. */
export const explainCommand = command({
  name: 'explain',
  description: 'Explain which target a request would go to and why.',
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
    customer: textOption('customer', 'customer that sends the request'),
    chat: textOption('chat', 'chat of the request'),
    kind: textOption(
      'kind',
      'kind of the request, which rules match to set its rank',
    ),
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
