import Table from 'cli-table3'

/** One column of a table. */
export interface Column {
  readonly title: string
  /** Field of the row that the column shows. */
  readonly field: string
  /** Aligns the column to the right. @default false */
  readonly right?: boolean
}

/** A record as the administration API sends it. */
export type Row = Readonly<Record<string, unknown>>

const NO_BORDERS = {
  top: '',
  'top-mid': '',
  'top-left': '',
  'top-right': '',
  bottom: '',
  'bottom-mid': '',
  'bottom-left': '',
  'bottom-right': '',
  left: '',
  'left-mid': '',
  mid: '',
  'mid-mid': '',
  right: '',
  'right-mid': '',
  middle: '  ',
}

function formatCell(value: unknown): string {
  if (value === undefined || value === null) return '-'
  if (typeof value === 'number')
    return Number.isInteger(value) ? String(value) : value.toFixed(2)
  if (typeof value === 'string') return value
  return JSON.stringify(value)
}

/** Formats rows as a table without borders. */
export function formatTable(
  columns: readonly Column[],
  rows: readonly Row[],
): string {
  const table = new Table({
    head: columns.map((column) => column.title),
    chars: NO_BORDERS,
    style: { head: [], border: [], 'padding-left': 0, 'padding-right': 0 },
    colAligns: columns.map(({ right }) => (right ? 'right' : 'left')),
  })
  for (const row of rows)
    table.push(columns.map(({ field }) => formatCell(row[field])))
  const lines = table.toString().split('\n')
  return lines.map((line) => line.trimEnd()).join('\n')
}
