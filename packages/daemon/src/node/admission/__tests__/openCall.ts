import { Agent, request } from 'node:http'
import type { CallerResponse } from '../../__tests__/callApi.js'

/** A request whose caller can disconnect before the response. */
export interface OpenCall {
  readonly response: Promise<CallerResponse | undefined>
  /** Closes the connection before the response has ended. */
  disconnect(): void
}

/** Options for {@link openCall}. */
export interface OpenCallOptions {
  readonly url: string
  readonly key: string
  readonly prompt: string
  readonly headers?: Record<string, string>
}

/** Sends a streaming chat request; no response if it disconnects first. */
export function openCall(options: OpenCallOptions): OpenCall {
  const agent = new Agent({ keepAlive: false })
  const req = request(`${options.url}/v1/chat/completions`, {
    method: 'POST',
    agent,
    headers: {
      authorization: `Bearer ${options.key}`,
      'content-type': 'application/json',
      ...options.headers,
    },
  })
  const response = new Promise<CallerResponse | undefined>((resolve) => {
    req.once('error', () => {
      resolve(undefined)
    })
    req.once('response', (res) => {
      let text = ''
      res.setEncoding('utf8')
      res.on('data', (chunk: string) => {
        text += chunk
      })
      res.once('error', () => undefined)
      res.once('close', () => {
        const { statusCode = 0, headers, complete } = res
        resolve({ status: statusCode, headers, text, complete })
      })
    })
  })
  const content = options.prompt
  const messages = [{ role: 'user', content }]
  req.end(JSON.stringify({ model: 'briefing', stream: true, messages }))
  return {
    response,
    disconnect: () => {
      req.destroy()
    },
  }
}
