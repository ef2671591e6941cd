import { readFileSync } from 'node:fs'
import { z } from 'zod'
import { MIN_SECRET_LENGTH } from './constants.js'

const EXPECTED = `expected at least ${MIN_SECRET_LENGTH} characters, or {"file": PATH} with a file that holds them`

/** Validates a secret given inline in the settings or in a separate file. */
export const secretSchema = z
  .union([z.string(), z.strictObject({ file: z.string().min(1) })], {
    error: EXPECTED,
  })
  .transform((value, ctx) => {
    let secret = ''
    try {
      secret =
        typeof value === 'string'
          ? value
          : readFileSync(value.file, 'utf8').trim()
    } catch (error) {
      ctx.addIssue(`${(error as Error).message}; ${EXPECTED}`)
      return z.NEVER
    }
    if (secret.length >= MIN_SECRET_LENGTH) return secret
    ctx.addIssue(EXPECTED)
    return z.NEVER
  })
