import { readFileSync } from 'node:fs'
import { err, ok, type Result } from 'neverthrow'
import * as v from 'valibot'
import { type RouterSettings, settingsSchema } from './settingsSchema.js'

/** Validates settings; the error names the field, the expected value and the remedy. */
export function resolveSettings(
  settings: unknown,
): Result<RouterSettings, string> {
  const parsed = v.safeParse(settingsSchema, settings)
  if (parsed.success) return ok(parsed.output)
  const [issue] = parsed.issues
  const field = v.getDotPath(issue) ?? 'the whole file'
  return err(`settings: ${field}: ${issue.message}; correct the field`)
}

/** Reads and validates a settings file. */
export function readSettings(path: string): Result<RouterSettings, string> {
  try {
    return resolveSettings(JSON.parse(readFileSync(path, 'utf8')))
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error)
    return err(`settings: ${path}: ${reason}; write a JSON file there`)
  }
}
