import { setTimeout as sleep } from 'node:timers/promises'
import { command, number, option, optional } from 'cmd-ts'
import { createAdminClient } from '../../adminClient.js'
import { ExitCode } from '../../exitCode.js'
import { printResponse } from '../../output/printResponse.js'
import { formatTable, type Row } from '../../output/table.js'
import { connectionArgs } from '../connectionArgs.js'

const DEFAULT_EVERY_MS = 1_000
const BAR_WIDTH = 20
const CLEAR_SCREEN = '\u001b[2J\u001b[H'

interface LoadedTarget {
  readonly id: string
  readonly service: string
  readonly load?: number
  readonly bound?: number
  readonly draining: boolean
}

/** Draws a load against its bound, `#####.....`. */
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

/** Shows the loads of all targets again and again. */
export const topCommand = command({
  name: 'top',
  description: 'Show the load of each target against its bound, live.',
  examples: [
    { description: 'until Ctrl-C', command: 'auburnbay top' },
    { description: 'once, for a script', command: 'auburnbay top --count 1' },
  ],
  args: {
    ...connectionArgs,
    everyMs: option({
      long: 'every-ms',
      type: number,
      defaultValue: () => DEFAULT_EVERY_MS,
      description: 'milliseconds between two looks',
    }),
    count: option({
      long: 'count',
      type: optional(number),
      description: 'looks; without end by default',
    }),
  },
  handler: async ({ admin, token, json, everyMs, count = Infinity }) => {
    const client = createAdminClient(admin, token)
    for (let look = 1; look <= count; look += 1) {
      const reply = await client.call({ path: '/targets' })
      if (process.stdout.isTTY && !json) process.stdout.write(CLEAR_SCREEN)
      const exitCode = printResponse(reply, json, format)
      process.exitCode = exitCode
      if (exitCode !== ExitCode.Done) return
      if (look < count) await sleep(everyMs)
    }
  },
})
