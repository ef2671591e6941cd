import { AdminErrorCode } from './adminErrorCode.js'
import type { AdminResponse } from './adminRoute.js'

const STATUS_BY_CODE: Readonly<Record<AdminErrorCode, number>> = {
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

/** Creates a response with status 200. */
export function createResponse(body: unknown): AdminResponse {
  return { status: 200, body }
}

/** Creates an error response; `details` are added beside `error` in the body. */
export function createErrorResponse(
  code: AdminErrorCode,
  message: string,
  details: object = {},
): AdminResponse {
  return {
    status: STATUS_BY_CODE[code],
    body: { ...details, error: { code, message } },
  }
}
