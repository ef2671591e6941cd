import { type ConsolaInstance, createConsola } from 'consola'
import { LogFormat } from '../settings/logFormat.js'
import type { ResolvedSettings } from '../settings/settingsSchema.js'

/** Loggers of the components of a daemon. */
export interface Logs {
  /** Returns a logger that tags its lines with the component's name. */
  forComponent(name: string): ConsolaInstance
}

function writeJsonLine(entry: {
  date: Date
  type: string
  tag: string
  args: unknown[]
}): void {
  const line = {
    at: entry.date.toISOString(),
    level: entry.type,
    part: entry.tag,
    message: entry.args.map(String).join(' '),
  }
  process.stderr.write(`${JSON.stringify(line)}\n`)
}

/** Creates the loggers of a daemon. */
export function createLogs(settings: ResolvedSettings['logs']): Logs {
  const root = createConsola({
    level: settings.level,
    stdout: process.stderr,
    ...(settings.format === LogFormat.Json
      ? { reporters: [{ log: writeJsonLine }] }
      : { fancy: false }),
  })
  return { forComponent: (name) => root.withTag(name) }
}
