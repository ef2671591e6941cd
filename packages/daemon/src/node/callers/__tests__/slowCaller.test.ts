import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect } from 'node:net'
import { after, before, describe, it } from 'node:test'
import { type Fleet, startFleet } from '../../__tests__/startFleet.js'

async function sendText(url: string, text: string): Promise<string> {
  const { hostname, port } = new URL(url)
  const socket = connect(Number(port), hostname)
  let received = ''
  socket.setEncoding('utf8')
  socket.on('data', (chunk: string) => {
    received += chunk
  })
  socket.write(text)
  await once(socket, 'close')
  return received
}

describe('a caller that sends too slowly', () => {
  let fleet: Fleet

  before(async () => {
    const callers = { headersTimeoutMs: 200, requestTimeoutMs: 400 }
    fleet = await startFleet({ settings: { callers } })
  })

  after(() => fleet.stop())

  it('gets 408 and not-run for unfinished headers', async () => {
    const head = 'POST /v1/chat/completions HTTP/1.1\r\nhost: router\r\n'
    const response = await sendText(fleet.callerUrl(), head)
    assert.match(response, /^HTTP\/1\.1 408 /)
    assert.match(response, /x-auburnbay-verdict: not-run/)
  })

  it('gets 408 and not-run for an unfinished body', async () => {
    const head = [
      'POST /v1/chat/completions HTTP/1.1',
      'host: router',
      `authorization: Bearer ${fleet.callerKey}`,
      'content-length: 100',
    ]
    const text = `${head.join('\r\n')}\r\n\r\n{"model":`
    const response = await sendText(fleet.callerUrl(), text)
    assert.match(response, /^HTTP\/1\.1 408 /)
    assert.match(response, /x-auburnbay-verdict: not-run/)
    assert.equal(fleet.engines[0]?.runs.length, 0)
  })
})
