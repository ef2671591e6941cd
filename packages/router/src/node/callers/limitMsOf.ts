import type { AdmittedRequest } from './admitRequest.js'

/** Returns the milliseconds within which a request must be answered. */
export function limitMsOf({
  request,
  relayed,
  route,
}: AdmittedRequest): number {
  const callerMs = relayed?.remainingMs ?? request.deadlineMs ?? Infinity
  return Math.min(route.timeoutMs, callerMs)
}
