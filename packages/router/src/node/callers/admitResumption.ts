import type { RequestFailure } from '@auburnbay/core/verdict/requestFailure'
import { err, ok, type Result } from 'neverthrow'
import type { ResumableStreams } from '../streams/createResumableStreams.js'
import { isResumable } from '../streams/isResumable.js'
import type { AdmittedRequest } from './admitRequest.js'
import { failures } from './failures.js'

/**
 * Restricts a request that resumes a stream to the software version that began it;
 * refuses it if that is unknown.
 * @param relayedVersion The version that a peer, which relays the request, knows.
 */
export function admitResumption(
  admitted: AdmittedRequest,
  streams: ResumableStreams,
  relayedVersion: string | undefined,
): Result<AdmittedRequest, RequestFailure> {
  const { request, route, service } = admitted
  const { lastEventId, resumedAttemptId } = request
  const resumes = lastEventId !== undefined || resumedAttemptId !== undefined
  if (!resumes || !isResumable(route)) return ok(admitted)
  const softwareVersion =
    relayedVersion ?? streams.findVersion(service, resumedAttemptId)
  if (softwareVersion === undefined) return err(failures.unknownStream)
  return ok({ ...admitted, softwareVersion })
}
