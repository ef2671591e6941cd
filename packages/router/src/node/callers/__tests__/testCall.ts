import { createBufferBudget } from '@auburnbay/http-utils/createBufferBudget'
import { testRoute } from '../../configuration/__tests__/testConfiguration.js'
import type { Call } from '../call.js'

/** Creates a call with defaults for the missing fields. */
export function testCall(fields: Partial<Call> = {}): Call {
  return {
    request: { attemptId: 'a', host: 'a.example', promptParts: [] },
    method: 'POST',
    path: '/',
    rawHeaders: [],
    body: Buffer.alloc(0),
    memory: createBufferBudget(1 << 20).lease(),
    route: testRoute(),
    service: 'service',
    deadlineAtMs: 10_000,
    signal: new AbortController().signal,
    ...fields,
  }
}
