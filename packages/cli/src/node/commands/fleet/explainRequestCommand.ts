import { command, number, option, optional, string } from 'cmd-ts'
import { formatTable, type Row } from '../../output/table.js'
import { jsonFlag } from '../connectionArgs.js'
import { runRequest } from '../runRequest.js'

/** Path at which a router of the platform explains itself, on the address of its metrics. */
const EXPLAIN_PATH = '/explain'

interface Explanation {
  readonly router: string
  readonly configurationVersion: number
  readonly targetsAgeMs: number | null
  readonly loadAgeMs: number
  readonly evacuatedDataCentres: readonly string[]
  readonly route?: string
  readonly service?: string
  readonly customer?: string
  readonly rank?: number
  readonly refusal?: { readonly status: number; readonly message: string }
  readonly admission?: {
    readonly isEnabled: boolean
    readonly admission: {
      readonly action: string
      readonly retryAfterMs?: number
    }
    readonly slots: number
    readonly peersInFlight: number
    readonly ownInFlight: number
    readonly waiting: number
  }
  readonly candidates?: readonly Row[]
  readonly choice?: {
    readonly target: string
    readonly reason: string
    readonly prefillTokens: number
    readonly fetchFrom?: string
  }
  readonly retries?: { readonly spent: number; readonly limit: number }
}

function formatAdmission({ admission }: Explanation): string {
  if (!admission) return '-'
  const { slots, peersInFlight, ownInFlight, waiting, isEnabled } = admission
  const { action, retryAfterMs } = admission.admission
  const retry =
    retryAfterMs === undefined ? '' : `, again in ${Math.ceil(retryAfterMs)} ms`
  const control = isEnabled ? '' : '; overload control is off'
  const inFlight = peersInFlight + ownInFlight
  return `${action}${retry}: ${inFlight} in flight at ${slots} slots, ${waiting} waiting here${control}`
}

function formatChoice({ choice }: Explanation): string {
  if (!choice) return 'none: no target takes the request'
  const { target, reason, prefillTokens, fetchFrom } = choice
  const source = fetchFrom === undefined ? '' : `, fetched from ${fetchFrom}`
  return `${target} (${reason}; ${prefillTokens} tokens to prefill${source})`
}

function format(body: unknown): string {
  const explanation = body as Explanation
  const { refusal, retries } = explanation
  const age =
    explanation.targetsAgeMs === null
      ? 'of unknown age'
      : `${Math.round(explanation.targetsAgeMs)} ms old`
  const lines = [
    `As ${explanation.router} sees it, configuration ${explanation.configurationVersion}, targets ${age}, load ${Math.round(explanation.loadAgeMs)} ms old:`,
  ]
  if (refusal)
    return [...lines, `refused    ${refusal.status}: ${refusal.message}`].join(
      '\n',
    )
  return [
    ...lines,
    `route      ${explanation.route ?? '-'}, service ${explanation.service ?? '-'}`,
    `customer   ${explanation.customer ?? '-'}, rank ${explanation.rank ?? '-'}`,
    `admission  ${formatAdmission(explanation)}`,
    `choice     ${formatChoice(explanation)}`,
    `retries    ${retries ? `${retries.spent} of ${Math.floor(retries.limit)}` : '-'}`,
    `evacuated  ${explanation.evacuatedDataCentres.join(', ') || '-'}`,
    '',
    formatTable(
      [
        { title: 'TARGET', field: 'target' },
        { title: 'DATA CENTRE', field: 'dataCentre' },
        { title: 'REQUESTS', field: 'requests', right: true },
        { title: 'PENDING TOKENS', field: 'pendingPromptTokens', right: true },
        { title: 'CACHES PROMPT', field: 'cachesPrompt' },
        { title: 'EXCLUDED', field: 'exclusion' },
      ],
      explanation.candidates ?? [],
    ),
  ].join('\n')
}

/** Parses parts of a prompt, such as `5c1e07a2:800,e4402b7d:250`. */
function parsePrompt(text: string): { id: string; tokens: number }[] {
  if (text === '') return []
  return text.split(',').map((part) => {
    const [id = '', tokens] = part.split(':')
    return { id, tokens: Number(tokens) }
  })
}

const textOption = (long: string, description: string) =>
  option({ long, type: string, defaultValue: () => '', description })

/** Explains where a router of the platform would send a request now. */
export const explainRequestCommand = command({
  name: 'explain-request',
  description:
    'Explain where a router of the platform would send a request now, and why, without sending it.',
  examples: [
    {
      description: 'a returning chat',
      command:
        'auburnbay explain-request --router http://10.1.0.40:9464 --host chat.example --path /chat/ --prompt 5c1e07a2:800,e4402b7d:250',
    },
  ],
  args: {
    router: option({
      long: 'router',
      type: string,
      description: 'URL of the address of a router’s metrics',
    }),
    host: option({ long: 'host', type: string }),
    path: option({ long: 'path', type: string }),
    customer: textOption('customer', 'customer that sends the request'),
    key: textOption('key', 'key of the request, instead of its customer'),
    prompt: textOption('prompt', 'parts of the prompt, as ID:TOKENS,...'),
    attempt: textOption('attempt', 'id of the attempt'),
    resumedAttempt: textOption(
      'resumed-attempt',
      'attempt that began the stream which the request takes up',
    ),
    deadlineMs: option({
      long: 'deadline-ms',
      type: optional(number),
      description: 'time that the caller waits',
    }),
    json: jsonFlag,
  },
  handler: ({ router, json, prompt, attempt, deadlineMs, ...question }) => {
    const { host, path, customer, key, resumedAttempt } = question
    const body = {
      host,
      path,
      prompt: parsePrompt(prompt),
      attempt,
      ...(customer && { customer }),
      ...(key && { key }),
      ...(resumedAttempt && { resumedAttempt }),
      ...(deadlineMs !== undefined && { deadlineMs }),
    }
    return runRequest(
      { admin: router, token: '', json },
      { method: 'POST', path: EXPLAIN_PATH, body },
      format,
    )
  },
})
