import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect } from 'node:net'
import { after, before, describe, it } from 'node:test'
import { type Fleet, startFleet } from '../../__tests__/startFleet.js'

async function answerTo(url: string, text: string): Promise<string> {
  const { hostname, port } = new URL(url)
  const socket = connect(Number(port), hostname)
  let answer = ''
  socket.setEncoding('utf8')
  socket.on('data', (chunk: string) => {
    answer += chunk
  })
  socket.write(text)
  await once(socket, 'close')
  return answer
}

describe('a slow caller', () => {
  let fleet: Fleet

  before(async () => {
    const callers = { headersTimeoutMs: 200, requestTimeoutMs: 400 }
    fleet = await startFleet({ settings: { callers } })
  })

  after(() => fleet.stop())

  it('is told that unfinished headers were not run', async () => {
    const head = 'POST /v1/chat/completions HTTP/1.1\r\nhost: router\r\n'
    const answer = await answerTo(fleet.callerUrl(), head)
    assert.match(answer, /^HTTP\/1\.1 408 /)
    assert.match(answer, /x-auburnbay-verdict: not-run/)
  })

  it('is told that an unfinished body was not run', async () => {
    const head = [
      'POST /v1/chat/completions HTTP/1.1',
      'host: router',
      `authorization: Bearer ${fleet.callerKey}`,
      'content-length: 100',
    ]
    const text = `${head.join('\r\n')}\r\n\r\n{"model":`
    const answer = await answerTo(fleet.callerUrl(), text)
    assert.match(answer, /^HTTP\/1\.1 408 /)
    assert.match(answer, /x-auburnbay-verdict: not-run/)
    assert.equal(fleet.engines[0]?.runs.length, 0)
  })
})
