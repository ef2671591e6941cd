import { Agent, request } from 'node:http'
import { performance } from 'node:perf_hooks'
import { CHAT_HEADER } from '@auburnbay/core'

/** Where a chat request goes. */
export interface ChatWay {
  /** Host and port. */
  readonly address: string
  readonly key: string
}

const PATH = '/v1/chat/completions'

function bodyOf(): string {
  const messages = [{ role: 'user', content: 'Ice in Baffin Bay?' }]
  return JSON.stringify({ model: 'briefing', stream: true, messages })
}

/** Sends a chat request; returns milliseconds to the first byte of the body. */
export function timeFirstByte(
  way: ChatWay,
  agent: Agent,
  chat: string,
): Promise<number> {
  const body = bodyOf()
  const startMs = performance.now()
  return new Promise((resolve, reject) => {
    const headers = {
      authorization: `Bearer ${way.key}`,
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      [CHAT_HEADER]: chat,
    }
    const url = `http://${way.address}${PATH}`
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
        else reject(new Error(`answered ${String(res.statusCode)}`))
      })
    })
    req.end(body)
  })
}

/** Keeps `concurrency` requests under way for `ms` and returns how many ended. */
export async function runThroughput(
  way: ChatWay,
  concurrency: number,
  ms: number,
): Promise<number> {
  const agent = new Agent({ keepAlive: true })
  const endMs = performance.now() + ms
  let ended = 0
  const worker = async (id: number): Promise<void> => {
    while (performance.now() < endMs) {
      await timeFirstByte(way, agent, `chat-${id}`)
      ended += 1
    }
  }
  const workers = Array.from({ length: concurrency }, (_, id) => worker(id))
  await Promise.all(workers)
  agent.destroy()
  return ended
}
