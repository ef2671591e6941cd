import { err, ok, type Result } from 'neverthrow'
import type { z } from 'zod'
import { AdminErrorCode } from './adminErrorCode.js'
import { refuse } from './adminReplies.js'
import type { AdminReply } from './adminRoute.js'

/** Checks a body; the refusal names every wrong field. */
export function parseBody<T>(
  schema: z.ZodType<T>,
  body: unknown,
): Result<T, AdminReply> {
  const parsed = schema.safeParse(body ?? {})
  if (parsed.success) return ok(parsed.data)
  const message = parsed.error.issues
    .map((issue) => `${issue.path.join('.') || 'body'}: ${issue.message}`)
    .join('; ')
  return err(refuse(AdminErrorCode.BadRequest, message))
}
