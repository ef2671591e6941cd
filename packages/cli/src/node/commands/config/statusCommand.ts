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
  const versionLine = status.everywhere
    ? `Version ${status.newest} is in force on every known router.`
    : `Version ${status.newest} is not in force on every router yet; check again later.`
  const logLine = status.connected
    ? ''
    : '\nThe queried router does not reach the log service.'
  return `${table}\n${versionLine}${logLine}`
}

/** Shows the configuration version of each router. */
export const statusCommand = command({
  name: 'status',
  description: 'Show which version is in force on each router.',
  args: connectionArgs,
  handler: (args) => runRequest(args, { path: '/config/status' }, format),
})
