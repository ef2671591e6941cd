import { request } from 'node:http'
import {
  CACHE_HEADER,
  CHAT_HEADER,
  REQUEST_KIND_HEADER,
  TARGET_HEADER,
} from '@auburnbay/core'

/** Complete response to a chat request. */
export interface ChatResponse {
  readonly status: number
  readonly target: string
  readonly cache: string
  readonly text: string
}

function extractText(events: string): string {
  const words: string[] = []
  for (const line of events.split('\n')) {
    if (!line.startsWith('data: {')) continue
    const chunk = JSON.parse(line.slice('data: '.length)) as {
      choices: { delta: { content: string } }[]
    }
    words.push(chunk.choices[0]?.delta.content ?? '')
  }
  return words.join('').trim()
}

/** A streamed request of a chat. */
export interface ChatRequest {
  /** URL of a router's listener for callers. */
  readonly url: string
  readonly key: string
  readonly service: string
  readonly chat: string
  /** Kind of the request; rules derive its rank from it. */
  readonly kind: string
  readonly prompt: string
}

/** Sends a streamed chat request and resolves with the complete response. */
export function streamChat(chatRequest: ChatRequest): Promise<ChatResponse> {
  const { url, key, service, chat, kind, prompt } = chatRequest
  const body = JSON.stringify({
    model: service,
    stream: true,
    messages: [{ role: 'user', content: prompt }],
  })
  return new Promise((resolve, reject) => {
    const req = request(`${url}/v1/chat/completions`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${key}`,
        'content-type': 'application/json',
        [CHAT_HEADER]: chat,
        [REQUEST_KIND_HEADER]: kind,
      },
    })
    req.on('error', reject)
    req.on('response', (res) => {
      let events = ''
      res.setEncoding('utf8')
      res.on('data', (chunk: string) => {
        events += chunk
      })
      res.on('error', reject)
      res.on('end', () => {
        resolve({
          status: res.statusCode ?? 0,
          target: String(res.headers[TARGET_HEADER]),
          cache: String(res.headers[CACHE_HEADER]),
          text: extractText(events),
        })
      })
    })
    req.end(body)
  })
}
