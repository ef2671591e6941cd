import { VERDICT_HEADER } from '@auburnbay/core'
import { requestJson } from '@auburnbay/http-utils'

const TIMEOUT_MS = 10_000

/** A supervisor's sign-off of a step. */
export interface SignOff {
  readonly starter: string
  readonly step: string
  /** Prevents a repeated request from running twice. */
  readonly idempotencyKey: string
}

/** Sends a sign-off, which must run at most once; resolves with the HTTP status. */
export async function sendSignOff(
  url: string,
  key: string,
  signOff: SignOff,
): Promise<number> {
  const { idempotencyKey, ...body } = signOff
  const response = await requestJson({
    method: 'POST',
    url: `${url}/v1/services/records/sign-offs`,
    headers: {
      authorization: `Bearer ${key}`,
      'idempotency-key': idempotencyKey,
    },
    body,
    timeoutMs: TIMEOUT_MS,
  })
  if (response.isOk()) return response.value.status
  const hint = `check ${VERDICT_HEADER} before sending it again`
  throw new Error(`${response.error.message}; ${hint}`)
}
