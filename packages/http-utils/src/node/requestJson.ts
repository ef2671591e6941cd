import { err, ok, type Result } from 'neverthrow'
import {
  type RequestBytesOptions,
  type RequestError,
  requestBytes,
} from './requestBytes.js'

/** A small JSON call over HTTP. */
export interface RequestJsonOptions extends Omit<RequestBytesOptions, 'body'> {
  readonly body?: unknown
}

/** A JSON answer. */
export interface JsonResponse {
  readonly status: number
  readonly body: unknown
}

function parse(text: string): unknown {
  return text === '' ? undefined : JSON.parse(text)
}

/** Sends a JSON request and reads the JSON answer. */
export async function requestJson(
  call: RequestJsonOptions,
): Promise<Result<JsonResponse, RequestError>> {
  const { body, headers, ...rest } = call
  const isEmpty = body === undefined
  const reply = await requestBytes({
    ...rest,
    ...(!isEmpty && { body: Buffer.from(JSON.stringify(body)) }),
    headers: {
      ...(!isEmpty && { 'content-type': 'application/json' }),
      ...headers,
    },
  })
  if (reply.isErr()) return err(reply.error)
  try {
    const { status } = reply.value
    return ok({ status, body: parse(reply.value.body.toString('utf8')) })
  } catch {
    return err({
      message: `${call.method} ${call.url}: the answer is not JSON`,
    })
  }
}
