import type { IncomingMessage, ServerResponse } from 'node:http'
import { readBody } from '@auburnbay/http-utils/readBody'
import { sendJson } from '@auburnbay/http-utils/sendJson'
import type { Explainer } from './createExplainer.js'
import { decodeExplainRequest } from './explainRequest.js'

/** Path at which operators ask where a request would go. */
export const EXPLAIN_PATH = '/explain'
/** Largest question, in bytes: a prompt of many parts. */
const MAX_BODY_BYTES = 64 * 1024

/** Answers a question with an explanation, or with 400 and the wrong field. */
export async function handleExplain(
  req: IncomingMessage,
  res: ServerResponse,
  explain: Explainer,
): Promise<void> {
  const body = await readBody(req, MAX_BODY_BYTES)
  if (body.isErr()) {
    res.destroy()
    return
  }
  const question = decodeExplainRequest(body.value.toString())
  if (question.isErr())
    sendJson(res, 400, { error: { message: question.error } })
  else sendJson(res, 200, explain(question.value))
}
