import { type AdminRequest, createAdminClient } from '../adminClient.js'
import { type BodyFormatter, printResponse } from '../output/printResponse.js'
import { type Column, formatTable, type Row } from '../output/table.js'
import { withProgress } from '../output/withProgress.js'
import type { Connection } from './connectionArgs.js'

/**
 * Sends a request to the router, prints the response and sets the exit code.
 */
export async function runRequest(
  connection: Connection,
  req: AdminRequest,
  format?: BodyFormatter,
): Promise<void> {
  const client = createAdminClient(connection.admin, connection.token)
  const result = await withProgress('the router', client.call(req))
  process.exitCode = printResponse(result, connection.json, format)
}

/** Creates a formatter that shows a list of records as a table. */
export function createTableFormatter(
  columns: readonly Column[],
): BodyFormatter {
  return (body) => {
    const rows = body as readonly Row[]
    return rows.length === 0 ? '(none)' : formatTable(columns, rows)
  }
}

/**
 * Creates a formatter that shows a map of entries as a table with their ids.
 */
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

/** Creates a formatter that shows the version that a change led to. */
export function createVersionFormatter(change: string): BodyFormatter {
  return (body) => {
    const { version } = body as { version: number }
    return `${change}; version ${version} is in force.`
  }
}

/** Joins path segments, percent-encoding each. */
export function buildPath(...segments: string[]): string {
  return segments.map((segment) => `/${encodeURIComponent(segment)}`).join('')
}
