import { type AdminRequest, createAdminClient } from '../adminClient.js'
import { type BodyFormatter, printResponse } from '../output/printResponse.js'
import { type Column, formatTable, type Row } from '../output/table.js'
import { withProgress } from '../output/withProgress.js'
import type { Connection } from './connectionArgs.js'

/** Calls the router, prints the answer and sets the exit code. */
export async function runRequest(
  connection: Connection,
  req: AdminRequest,
  format?: BodyFormatter,
): Promise<void> {
  const client = createAdminClient(connection.admin, connection.token)
  const reply = await withProgress('the router', client.call(req))
  process.exitCode = printResponse(reply, connection.json, format)
}

/** Shows a list as a table. */
export function createTableFormatter(
  columns: readonly Column[],
): BodyFormatter {
  return (body) => {
    const rows = body as readonly Row[]
    return rows.length === 0 ? '(none)' : formatTable(columns, rows)
  }
}

/** Shows a map of entries as a table with their ids. */
export function createEntryTableFormatter(
  columns: readonly Column[],
): BodyFormatter {
  return (body) => {
    const entries = Object.entries(body as Record<string, Row>)
    const rows = entries.map(([id, entry]) => ({ id, ...entry }))
    return createTableFormatter([{ title: 'ID', field: 'id' }, ...columns])(
      rows,
    )
  }
}

/** Says which version a change led to. */
export function createVersionFormatter(what: string): BodyFormatter {
  return (body) => {
    const { version } = body as { version: number }
    return `${what}; version ${version} is in force.`
  }
}

/** Makes a path of parts that may hold any character. */
export function buildPath(...parts: string[]): string {
  return parts.map((part) => `/${encodeURIComponent(part)}`).join('')
}
