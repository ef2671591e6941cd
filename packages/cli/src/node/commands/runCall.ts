import { type AdminRequest, createAdminClient } from '../adminClient.js'
import { type Formatter, printReply } from '../output/printReply.js'
import { type Column, formatTable, type Row } from '../output/table.js'
import { withProgress } from '../output/withProgress.js'
import type { Connection } from './connectionArgs.js'

/** Calls the router, prints the answer and sets the exit code. */
export async function runCall(
  connection: Connection,
  req: AdminRequest,
  format?: Formatter,
): Promise<void> {
  const client = createAdminClient(connection.admin, connection.token)
  const reply = await withProgress('the router', client.call(req))
  process.exitCode = printReply(reply, connection.json, format)
}

/** Shows a list as a table. */
export function asTable(columns: readonly Column[]): Formatter {
  return (body) => {
    const rows = body as readonly Row[]
    return rows.length === 0 ? '(none)' : formatTable(columns, rows)
  }
}

/** Shows a map of entries as a table with their ids. */
export function asEntryTable(columns: readonly Column[]): Formatter {
  return (body) => {
    const entries = Object.entries(body as Record<string, Row>)
    const rows = entries.map(([id, entry]) => ({ id, ...entry }))
    return asTable([{ title: 'ID', field: 'id' }, ...columns])(rows)
  }
}

/** Says which version a change led to. */
export function asVersion(what: string): Formatter {
  return (body) => {
    const { version } = body as { version: number }
    return `${what}; version ${version} is in force.`
  }
}

/** Makes a path of parts that may hold any character. */
export function pathOf(...parts: string[]): string {
  return parts.map((part) => `/${encodeURIComponent(part)}`).join('')
}
