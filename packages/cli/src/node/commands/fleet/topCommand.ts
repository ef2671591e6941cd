import { setTimeout as sleep } from 'node:timers/promises'
import { command, number, option, optional } from 'cmd-ts'
import { createAdminClient } from '../../adminClient.js'
import { ExitCode } from '../../exitCode.js'
import { printResponse } from '../../output/printResponse.js'
import { formatTable, type Row } from '../../output/table.js'
import { connectionArgs } from '../connectionArgs.js'

const DEFAULT_INTERVAL_MS = 1_000
/** Width of a load bar, in characters. */
const BAR_WIDTH = 20
const CLEAR_SCREEN = '\u001b[2J\u001b[H'

interface LoadedTarget {
  readonly id: string
  readonly service: string
  readonly load?: number
  readonly bound?: number
  readonly draining: boolean
}

/** Draws a load relative to its bound as a bar, `#####.....`. */
export function formatLoadBar(load: number, bound: number): string {
  const share = bound > 0 ? Math.min(1, load / bound) : 0
  const filled = Math.round(share * BAR_WIDTH)
  return '#'.repeat(filled) + '.'.repeat(BAR_WIDTH - filled)
}

function toTableRow(target: LoadedTarget): Row {
  const { load, bound } = target
  const known = load !== undefined && bound !== undefined
  const state = target.draining ? 'draining' : known ? '' : 'leaving'
  return { ...target, bar: known ? formatLoadBar(load, bound) : '', state }
}

function format(body: unknown): string {
  const rows = (body as readonly LoadedTarget[]).map(toTableRow)
  return formatTable(
    [
      { title: 'SERVICE', field: 'service' },
      { title: 'TARGET', field: 'id' },
      { title: 'LOAD', field: 'load', right: true },
      { title: 'BOUND', field: 'bound', right: true },
      { title: 'LOAD OF BOUND', field: 'bar' },
      { title: 'STATE', field: 'state' },
    ],
    rows,
  )
}

/** Shows the loads of all targets, refreshed at intervals. */
export const topCommand = command({
  name: 'top',
  description: 'Show the load of each target against its bound, live.',
  examples: [
    { description: 'refresh until Ctrl-C', command: 'auburnbay top' },
    { description: 'once, for a script', command: 'auburnbay top --count 1' },
  ],
  args: {
    ...connectionArgs,
    everyMs: option({
      long: 'every-ms',
      type: number,
      defaultValue: () => DEFAULT_INTERVAL_MS,
      description: 'milliseconds between two refreshes',
    }),
    count: option({
      long: 'count',
      type: optional(number),
      description: 'number of refreshes; unlimited by default',
    }),
  },
  handler: async ({ admin, token, json, everyMs, count = Infinity }) => {
    const client = createAdminClient(admin, token)
    for (let refresh = 1; refresh <= count; refresh += 1) {
      const result = await client.call({ path: '/targets' })
      if (process.stdout.isTTY && !json) process.stdout.write(CLEAR_SCREEN)
      const exitCode = printResponse(result, json, format)
      process.exitCode = exitCode
      if (exitCode !== ExitCode.Done) return
      if (refresh < count) await sleep(everyMs)
    }
  },
})
