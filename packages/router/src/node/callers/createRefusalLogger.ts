import type { RequestFailure } from '@auburnbay/core/verdict/requestFailure'
import type { ConfigurationStore } from '../configuration/createConfigurationStore.js'
import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { CallerRequest } from './callerRequest.js'

/** Returns a function that logs the refusal of a request before it was admitted. */
export function createRefusalLogger(
  log: DecisionLog,
  configurationStore: Pick<ConfigurationStore, 'version'>,
): (request: CallerRequest, failure: RequestFailure) => void {
  return ({ attemptId, resumedAttemptId }, { status, code, verdict }) => {
    log.write(LogEvent.RequestRefused, {
      request: attemptId,
      resumedAttempt: resumedAttemptId,
      status,
      code,
      verdict,
      version: configurationStore.version,
    })
  }
}
