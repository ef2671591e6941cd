import { AdminErrorCode } from './adminErrorCode.js'
import type { AdminReply } from './adminRoute.js'

const STATUS: Readonly<Record<AdminErrorCode, number>> = {
  [AdminErrorCode.BadRequest]: 400,
  [AdminErrorCode.MissingToken]: 401,
  [AdminErrorCode.WrongToken]: 401,
  [AdminErrorCode.Forbidden]: 403,
  [AdminErrorCode.NotFound]: 404,
  [AdminErrorCode.MethodNotAllowed]: 405,
  [AdminErrorCode.Conflict]: 409,
  [AdminErrorCode.Invalid]: 422,
  [AdminErrorCode.TooLarge]: 413,
  [AdminErrorCode.Unknown]: 504,
  [AdminErrorCode.LogUnavailable]: 503,
  [AdminErrorCode.Unsupported]: 501,
  [AdminErrorCode.Internal]: 500,
}

/** Creates a successful answer. */
export function reply(body: unknown): AdminReply {
  return { status: 200, body }
}

/** Creates a refusal; `details` stand beside the error. */
export function refuse(
  code: AdminErrorCode,
  message: string,
  details: object = {},
): AdminReply {
  return {
    status: STATUS[code],
    body: { ...details, error: { code, message } },
  }
}
