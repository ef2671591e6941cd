import { command } from 'cmd-ts'
import { formatTable, type Row } from '../../output/table.js'
import { connectionArgs } from '../connectionArgs.js'
import { runRequest } from '../runRequest.js'

interface Status {
  readonly version: number
  readonly newest: number
  readonly everywhere: boolean
  readonly connected: boolean
  readonly routers: readonly Row[]
}

function format(body: unknown): string {
  const status = body as Status
  const table = formatTable(
    [
      { title: 'ROUTER', field: 'id' },
      { title: 'DATA CENTRE', field: 'dataCentre' },
      { title: 'VERSION', field: 'version', right: true },
    ],
    status.routers,
  )
  const spread = status.everywhere
    ? `Version ${status.newest} is in force on every router heard of.`
    : `Version ${status.newest} is not in force everywhere yet; ask again.`
  const log = status.connected
    ? ''
    : '\nThe router asked has no answer from the log.'
  return `${table}\n${spread}${log}`
}

/** Shows the version of each router. */
export const statusCommand = command({
  name: 'status',
  description: 'Show which version is in force on each router.',
  args: connectionArgs,
  handler: (args) => runRequest(args, { path: '/config/status' }, format),
})
