import { Agent, type IncomingHttpHeaders, request } from 'node:http'
import { CHAT_HEADER } from '@auburnbay/core'

/** A response as a caller received it. */
export interface CallerResponse {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly text: string
  /** Whether the response was received in full. */
  readonly complete: boolean
}

/** Request that a test sends as a caller. */
export interface CallerRequest {
  readonly url: string
  readonly method?: string
  readonly headers?: Record<string, string>
  readonly body?: string
}

/** Sends a request as a caller; rejects when no response arrives. */
export function callApi(call: CallerRequest): Promise<CallerResponse> {
  const { url, method = 'GET', headers = {}, body } = call
  return new Promise((resolve, reject) => {
    const agent = new Agent({ keepAlive: false })
    const req = request(url, { method, headers, agent })
    req.once('error', reject)
    req.once('response', (res) => {
      let text = ''
      res.setEncoding('utf8')
      res.on('data', (chunk: string) => {
        text += chunk
      })
      res.once('error', () => undefined)
      res.once('close', () => {
        const { statusCode = 0, headers: received, complete } = res
        resolve({
          status: statusCode,
          headers: received,
          text,
          complete,
        })
      })
    })
    req.end(body)
  })
}

/** Sends a chat request with a streamed response to the `briefing` service. */
export function callChat(
  baseUrl: string,
  key: string,
  chat: string,
  headers: Record<string, string> = {},
): Promise<CallerResponse> {
  return callApi({
    url: `${baseUrl}/v1/chat/completions`,
    method: 'POST',
    headers: {
      authorization: `Bearer ${key}`,
      'content-type': 'application/json',
      [CHAT_HEADER]: chat,
      ...headers,
    },
    body: JSON.stringify({
      model: 'briefing',
      stream: true,
      messages: [{ role: 'user', content: `chat ${chat}` }],
    }),
  })
}
