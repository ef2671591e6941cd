import { readFileSync } from 'node:fs'
import { err, ok, type Result } from 'neverthrow'
import { type ResolvedSettings, settingsSchema } from './settingsSchema.js'

/** One wrong field of the settings. */
export interface SettingsProblem {
  /** Path of the field, `listen.callers.port`. */
  readonly path: string
  /** What was expected and what to do. */
  readonly message: string
}

/** Checks settings and fills in the defaults. */
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

/** Reads and checks a settings file. */
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
