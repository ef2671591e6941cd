import { request } from 'node:http'
import {
  CACHE_HEADER,
  CHAT_HEADER,
  REQUEST_KIND_HEADER,
  TARGET_HEADER,
} from '@auburnbay/core'

/** One answer of the returning chat. */
export interface ChatAnswer {
  readonly status: number
  readonly target: string
  readonly cache: string
  readonly text: string
}

function textOf(events: string): string {
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

/** One request of a chat. */
export interface ChatCall {
  /** URL of a router's listener for callers. */
  readonly url: string
  readonly key: string
  readonly service: string
  readonly chat: string
  /** Kind of the request, which rules rank. */
  readonly kind: string
  readonly prompt: string
}

/** Sends a streamed request and reads the whole answer. */
export function streamChat(call: ChatCall): Promise<ChatAnswer> {
  const { url, key, service, chat, kind, prompt } = call
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
          text: textOf(events),
        })
      })
    })
    req.end(body)
  })
}
