import { type Agent, type IncomingHttpHeaders, request } from 'node:http'
import { formatAddress } from '@auburnbay/http-utils'
import { createResponseWords } from '@auburnbay/stand-ins'
import type { RouterProcess } from './forkRouter.js'

/** How a streamed chat ended for its caller. */
export enum ChatOutcome {
  /** The complete and correct response arrived. */
  Complete = 'whole',
  /** An error response arrived with the verdict `not-run`. */
  NotRun = 'not-run',
  /** An error response arrived with another verdict. */
  Failed = 'failed',
  /** The response or the connection was aborted, visibly to the caller. */
  Aborted = 'broken',
  /** The response ended cleanly but is not the expected one. */
  Wrong = 'wrong',
}

/** Options for {@link callChat}. */
export interface ChatCall {
  readonly router: RouterProcess
  readonly callerKey: string
  readonly agent: Agent
  /** Unique among all calls; determines the expected response. */
  readonly prompt: string
  readonly words: number
  /** Called when the first chunk of the response arrives. */
  readonly onFirstChunk?: () => void
}

interface ChatResponse {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly text: string
}

function joinContent(text: string): string {
  const pattern = /"content":("(?:[^"\\]|\\.)*")/g
  const parts = [...text.matchAll(pattern)].map((match) => match[1] ?? '""')
  return parts.map((part) => JSON.parse(part) as string).join('')
}

function classifyResponse(
  call: ChatCall,
  { status, headers, text }: ChatResponse,
): ChatOutcome {
  if (status !== 200)
    return headers['x-auburnbay-verdict'] === 'not-run'
      ? ChatOutcome.NotRun
      : ChatOutcome.Failed
  const messages = [{ content: call.prompt }]
  const expected = createResponseWords({ messages }, call.words).join('')
  const isExpected = joinContent(text) === expected && text.includes('[DONE]')
  return isExpected ? ChatOutcome.Complete : ChatOutcome.Wrong
}

/** Sends a streamed chat and resolves with its outcome. */
export function callChat(call: ChatCall): Promise<ChatOutcome> {
  const { router, callerKey, agent, prompt } = call
  const address = formatAddress(router.addresses.callers)
  return new Promise((resolve) => {
    const resolveAborted = (): void => {
      resolve(ChatOutcome.Aborted)
    }
    const req = request(`http://${address}/v1/chat/completions`, {
      method: 'POST',
      agent,
      headers: {
        authorization: `Bearer ${callerKey}`,
        'content-type': 'application/json',
        'x-auburnbay-chat': prompt,
      },
    })
    req.on('error', resolveAborted)
    req.on('response', (res) => {
      let text = ''
      res.setEncoding('utf8')
      res.once('data', () => call.onFirstChunk?.())
      res.on('data', (chunk: string) => {
        text += chunk
      })
      res.on('error', resolveAborted)
      res.on('close', () => {
        const { statusCode: status = 0, headers, complete } = res
        if (complete) resolve(classifyResponse(call, { status, headers, text }))
        else resolveAborted()
      })
    })
    const messages = [{ role: 'user', content: prompt }]
    req.end(JSON.stringify({ model: 'briefing', stream: true, messages }))
  })
}
