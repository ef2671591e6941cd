import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import { type Fleet, startFleet } from '../../__tests__/startFleet.js'
import { sendRaw } from './sendRaw.js'

describe('a request with ambiguous framing', () => {
  let fleet: Fleet

  before(async () => {
    fleet = await startFleet({ engines: 1 })
  })

  after(() => fleet.stop())

  function send(lines: string[], body: string): Promise<string> {
    const address = fleet.routers[0]?.addresses.callers
    assert.ok(address)
    const head = [
      'POST /v1/services/charts/notices HTTP/1.1',
      'Host: router',
      `Authorization: Bearer ${fleet.callerKey}`,
      ...lines,
    ]
    return sendRaw(address, `${head.join('\r\n')}\r\n\r\n${body}`)
  }

  const smuggled = 'GET /v1/services/charts/hidden HTTP/1.1\r\nHost: x\r\n\r\n'
  const lastChunk = '0\r\n\r\n'
  const cases: [string, string[], string][] = [
    [
      'Content-Length beside Transfer-Encoding',
      ['Content-Length: 4', 'Transfer-Encoding: chunked'],
      `${lastChunk}${smuggled}`,
    ],
    [
      'Transfer-Encoding beside Content-Length',
      ['Transfer-Encoding: chunked', 'Content-Length: 4'],
      `${lastChunk}${smuggled}`,
    ],
    [
      'two lengths',
      ['Content-Length: 2', 'Content-Length: 60'],
      `{}${smuggled}`,
    ],
    ['two equal lengths', ['Content-Length: 2', 'Content-Length: 2'], '{}'],
    ['a list of lengths', ['Content-Length: 2, 60'], `{}${smuggled}`],
    ['a signed length', ['Content-Length: +2'], '{}'],
    ['a length in hexadecimal', ['Content-Length: 0x2'], '{}'],
    ['a length with a space inside', ['Content-Length: 1 0'], '{}'],
    ['a space before the colon', ['Content-Length : 2'], `{}${smuggled}`],
    ['a folded header', ['X-One: a', ' Content-Length: 2'], '{}'],
    [
      'an unknown coding after chunked',
      ['Transfer-Encoding: chunked, identity'],
      `${lastChunk}${smuggled}`,
    ],
    [
      'a coding that only looks like chunked',
      ['Transfer-Encoding: xchunked'],
      `${lastChunk}${smuggled}`,
    ],
    [
      'two codings',
      ['Transfer-Encoding: chunked', 'Transfer-Encoding: chunked'],
      `${lastChunk}${smuggled}`,
    ],
    [
      'a chunk size with a sign',
      ['Transfer-Encoding: chunked'],
      `+2\r\n{}\r\n${lastChunk}`,
    ],
    [
      'a chunk that is longer than its size',
      ['Transfer-Encoding: chunked'],
      `2\r\n{}xx\r\n${lastChunk}`,
    ],
    [
      'a chunk size that ends with a bare line feed',
      ['Transfer-Encoding: chunked'],
      `2\n{}\r\n${lastChunk}`,
    ],
    [
      'a chunk extension with a bare line feed',
      ['Transfer-Encoding: chunked'],
      `2;x=\n{}\r\n${lastChunk}`,
    ],
    [
      'a header line that ends with a bare line feed',
      ['X-One: a\nContent-Length: 2'],
      `{}${smuggled}`,
    ],
    ['a header name with a null byte', ['X-\u0000One: a'], ''],
  ]
  for (const [name, lines, body] of cases) {
    it(`is rejected: ${name}`, async () => {
      const callsBefore = fleet.plain.calls.length
      const response = await send(lines, body)
      assert.match(response, /^HTTP\/1\.1 400 /, response)
      assert.match(response, /x-auburnbay-verdict: not-run/i)
      assert.equal(
        response.split('HTTP/1.1 ').length,
        2,
        'more than one response',
      )
      assert.equal(fleet.plain.calls.length, callsBefore)
    })
  }

  it('is forwarded as a single request when its chunk extensions are well-formed', async () => {
    const body = `2;name=value\r\n{}\r\n${lastChunk}`
    const lines = ['Transfer-Encoding: chunked', 'Connection: close']
    const response = await send(lines, body)
    assert.match(response, /^HTTP\/1\.1 200 /)
    assert.equal(fleet.plain.calls.at(-1)?.path, '/notices')
  })
})
