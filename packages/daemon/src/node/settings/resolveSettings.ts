import { readFileSync } from 'node:fs'
import { err, ok, type Result } from 'neverthrow'
import { type ResolvedSettings, settingsSchema } from './settingsSchema.js'

/** An invalid field of the settings. */
export interface SettingsProblem {
  /** Path of the field, such as `listen.callers.port`. */
  readonly path: string
  /** Expected value and how to correct the field. */
  readonly message: string
}

/** Validates settings and applies the defaults. */
export function resolveSettings(
  value: unknown,
): Result<ResolvedSettings, SettingsProblem[]> {
  const parsed = settingsSchema.safeParse(value)
  if (parsed.success) return ok(parsed.data)
  return err(
    parsed.error.issues.map((issue) => ({
      path: issue.path.join('.') || '(whole file)',
      message: `${issue.message}; correct this field and check again with auburnbayd --check-settings`,
    })),
  )
}

/** Reads and validates a JSON settings file. */
export function loadSettings(
  path: string,
): Result<ResolvedSettings, SettingsProblem[]> {
  try {
    return resolveSettings(JSON.parse(readFileSync(path, 'utf8')))
  } catch (error) {
    const message = `${(error as Error).message}; name a readable JSON file with --settings`
    return err([{ path: '(whole file)', message }])
  }
}
