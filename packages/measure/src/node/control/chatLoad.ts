import { Agent, request } from 'node:http'
import { performance } from 'node:perf_hooks'
import { CHAT_HEADER } from '@auburnbay/core'

/** Address that chat requests are sent to, with the caller's key. */
export interface ChatEndpoint {
  /** Host and port. */
  readonly address: string
  readonly key: string
}

const CHAT_PATH = '/v1/chat/completions'

function createBody(): string {
  const messages = [{ role: 'user', content: 'Ice in Baffin Bay?' }]
  return JSON.stringify({ model: 'briefing', stream: true, messages })
}

/** Sends a chat request; returns the milliseconds to the first byte of the body. */
export function measureTimeToFirstByte(
  endpoint: ChatEndpoint,
  agent: Agent,
  chat: string,
): Promise<number> {
  const body = createBody()
  const startMs = performance.now()
  return new Promise((resolve, reject) => {
    const headers = {
      authorization: `Bearer ${endpoint.key}`,
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      [CHAT_HEADER]: chat,
    }
    const url = `http://${endpoint.address}${CHAT_PATH}`
    const req = request(url, { method: 'POST', agent, headers })
    req.once('error', reject)
    req.once('response', (res) => {
      let firstMs = 0
      res.on('data', () => {
        firstMs ||= performance.now() - startMs
      })
      res.once('error', reject)
      res.once('end', () => {
        if (res.statusCode === 200) resolve(firstMs)
        else reject(new Error(`unexpected status ${String(res.statusCode)}`))
      })
    })
    req.end(body)
  })
}

/** Keeps `concurrency` requests in flight for `durationMs`; returns how many finished. */
export async function runThroughput(
  endpoint: ChatEndpoint,
  concurrency: number,
  durationMs: number,
): Promise<number> {
  const agent = new Agent({ keepAlive: true })
  const endMs = performance.now() + durationMs
  let finished = 0
  const worker = async (id: number): Promise<void> => {
    while (performance.now() < endMs) {
      await measureTimeToFirstByte(endpoint, agent, `chat-${id}`)
      finished += 1
    }
  }
  const workers = Array.from({ length: concurrency }, (_, id) => worker(id))
  await Promise.all(workers)
  agent.destroy()
  return finished
}
