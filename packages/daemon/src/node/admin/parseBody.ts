import { err, ok, type Result } from 'neverthrow'
import type { z } from 'zod'
import { AdminErrorCode } from './adminErrorCode.js'
import { createErrorResponse } from './adminResponses.js'
import type { AdminResponse } from './adminRoute.js'

/** Validates a body; the error response names every invalid field. */
export function parseBody<T>(
  schema: z.ZodType<T>,
  body: unknown,
): Result<T, AdminResponse> {
  const parsed = schema.safeParse(body ?? {})
  if (parsed.success) return ok(parsed.data)
  const message = parsed.error.issues
    .map((issue) => `${issue.path.join('.') || 'body'}: ${issue.message}`)
    .join('; ')
  return err(createErrorResponse(AdminErrorCode.BadRequest, message))
}
