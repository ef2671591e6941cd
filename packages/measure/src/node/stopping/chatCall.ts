import { type Agent, type IncomingHttpHeaders, request } from 'node:http'
import { formatAddress } from '@auburnbay/http-utils'
import { answerWords } from '@auburnbay/stand-ins'
import type { RouterProcess } from './forkRouter.js'

/** How a streamed chat ended for its caller. */
export enum ChatEnd {
  /** The whole and right answer came. */
  Whole = 'whole',
  /** A failure came with the verdict "not run". */
  NotRun = 'not-run',
  /** A failure came with another verdict. */
  Failed = 'failed',
  /** The answer or the connection broke off visibly. */
  Broken = 'broken',
  /** The answer ended cleanly though it is not the right one. */
  Wrong = 'wrong',
}

/** One streamed chat through one router. */
export interface ChatCall {
  readonly router: RouterProcess
  readonly callerKey: string
  readonly agent: Agent
  /** Unlike any other call's. */
  readonly prompt: string
  readonly words: number
  /** Told when the first part of the answer has come. */
  readonly onStarted?: () => void
}

interface Received {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly text: string
}

function contentOf(text: string): string {
  const pattern = /"content":("(?:[^"\\]|\\.)*")/g
  const parts = [...text.matchAll(pattern)].map((match) => match[1] ?? '""')
  return parts.map((part) => JSON.parse(part) as string).join('')
}

function judge(call: ChatCall, { status, headers, text }: Received): ChatEnd {
  if (status !== 200)
    return headers['x-auburnbay-verdict'] === 'not-run'
      ? ChatEnd.NotRun
      : ChatEnd.Failed
  const messages = [{ content: call.prompt }]
  const expected = answerWords({ messages }, call.words).join('')
  const right = contentOf(text) === expected && text.includes('[DONE]')
  return right ? ChatEnd.Whole : ChatEnd.Wrong
}

/** Sends a streamed chat and says how it ended. */
export function callChat(call: ChatCall): Promise<ChatEnd> {
  const { router, callerKey, agent, prompt } = call
  const address = formatAddress(router.addresses.callers)
  return new Promise((resolve) => {
    const broken = (): void => {
      resolve(ChatEnd.Broken)
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
    req.on('error', broken)
    req.on('response', (res) => {
      let text = ''
      res.setEncoding('utf8')
      res.once('data', () => call.onStarted?.())
      res.on('data', (chunk: string) => {
        text += chunk
      })
      res.on('error', broken)
      res.on('close', () => {
        const { statusCode: status = 0, headers, complete } = res
        if (complete) resolve(judge(call, { status, headers, text }))
        else broken()
      })
    })
    const messages = [{ role: 'user', content: prompt }]
    req.end(JSON.stringify({ model: 'briefing', stream: true, messages }))
  })
}
