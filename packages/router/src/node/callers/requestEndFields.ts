import { Verdict } from '@auburnbay/core/verdict/verdict'
import type { LogFields } from '../logging/decisionLog.js'
import { affinityKey } from '../routing/affinityKey.js'
import type { AdmittedRequest } from './admitRequest.js'
import type { DispatchOutcome } from './dispatchOutcome.js'

/** Returns the fields of a log line that describe a request and where it was sent. */
export function requestEndFields(
  admitted: AdmittedRequest,
  { failure, sends, placement }: DispatchOutcome,
): LogFields {
  const { request, route } = admitted
  return {
    request: request.attemptId,
    route: route.name,
    service: admitted.service,
    customer: admitted.customer?.name,
    resumedAttempt: request.resumedAttemptId,
    target: placement?.target.id,
    targetVersion: placement?.target.softwareVersion,
    placed: placement?.reason,
    prompt: affinityKey(request.promptParts),
    prefillTokens: placement?.prefillTokens,
    fetchFrom: placement?.fetchFrom?.id,
    sends,
    relayed: admitted.relayed && true,
    verdict: failure?.verdict ?? Verdict.Ran,
    code: failure?.code,
  }
}
