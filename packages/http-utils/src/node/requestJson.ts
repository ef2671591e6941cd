import { err, ok, type Result } from 'neverthrow'
import {
  type RequestBytesOptions,
  type RequestError,
  requestBytes,
} from './requestBytes.js'

/** Options for {@link requestJson}. */
export interface RequestJsonOptions extends Omit<RequestBytesOptions, 'body'> {
  readonly body?: unknown
}

/** A JSON response. */
export interface JsonResponse {
  readonly status: number
  readonly body: unknown
}

function parse(text: string): unknown {
  return text === '' ? undefined : JSON.parse(text)
}

/** Sends a JSON request and parses the JSON response. */
export async function requestJson(
  options: RequestJsonOptions,
): Promise<Result<JsonResponse, RequestError>> {
  const { body, headers, ...rest } = options
  const isEmpty = body === undefined
  const response = await requestBytes({
    ...rest,
    ...(!isEmpty && { body: Buffer.from(JSON.stringify(body)) }),
    headers: {
      ...(!isEmpty && { 'content-type': 'application/json' }),
      ...headers,
    },
  })
  if (response.isErr()) return err(response.error)
  try {
    const { status } = response.value
    return ok({ status, body: parse(response.value.body.toString('utf8')) })
  } catch {
    return err({
      message: `${options.method} ${options.url}: the answer is not JSON`,
    })
  }
}
