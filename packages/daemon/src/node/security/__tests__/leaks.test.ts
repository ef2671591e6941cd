import assert from 'node:assert/strict'
import { createSocket } from 'node:dgram'
import { once } from 'node:events'
import { after, before, describe, it, mock } from 'node:test'
import {
  InMemorySpanExporter,
  SimpleSpanProcessor,
} from '@opentelemetry/sdk-trace-base'
import { callApi, callChat } from '../../__tests__/callApi.js'
import {
  type Fleet,
  startFleet,
  TEST_ADMIN_TOKEN,
} from '../../__tests__/startFleet.js'
import { callAdmin } from '../../admin/__tests__/callAdmin.js'
import { LogFormat } from '../../settings/logFormat.js'

const DEBUG_LEVEL = 5

describe('secrets', () => {
  let fleet: Fleet
  let output = ''
  const spans = new InMemorySpanExporter()
  const statsd = createSocket('udp4')
  const write = mock.method(process.stderr, 'write', (text: unknown) => {
    output += String(text)
    return true
  })

  before(async () => {
    statsd.on('message', (message) => {
      output += message.toString('utf8')
    })
    statsd.bind(0, '127.0.0.1')
    await once(statsd, 'listening')
    fleet = await startFleet({
      routers: 2,
      engines: 1,
      daemon: { spanProcessors: [new SimpleSpanProcessor(spans)] },
      settings: {
        logs: { level: DEBUG_LEVEL, format: LogFormat.Json },
        metrics: { host: '127.0.0.1', port: statsd.address().port },
      },
    })
  })

  after(async () => {
    await fleet.stop()
    write.mock.restore()
    statsd.close()
  })

  it('do not appear in logs, spans, metrics, responses or shown configuration', async () => {
    const responses: string[] = []
    const key = 'corrib/bridge/a-wrong-but-secret-text'
    const wrong = await callChat(fleet.callerUrl(), key, 'voyage')
    const right = await callChat(fleet.callerUrl(), fleet.callerKey, 'voyage')
    assert.equal(right.status, 200)
    const unknownPath = await callApi({
      url: `${fleet.callerUrl()}/nowhere`,
      headers: { authorization: `Bearer ${fleet.callerKey}` },
    })
    for (const { text, headers } of [wrong, right, unknownPath])
      responses.push(text, JSON.stringify(headers))
    const path = '/customers/corrib/keys'
    const body = { keyId: 'agents' }
    const created = await callAdmin(fleet, { method: 'POST', path, body })
    const badPatch = await callAdmin(fleet, {
      method: 'POST',
      path: '/config/patches',
      token: 'nobody/a-wrong-operator-secret',
      body: { operations: [] },
    })
    responses.push(JSON.stringify(badPatch.body))
    const paths = ['/config', '/config/history', '/config/diff?from=0']
    for (const shownPath of [...paths, '/customers', '/customers/corrib'])
      responses.push(
        JSON.stringify((await callAdmin(fleet, { path: shownPath })).body),
      )
    const traced = spans.getFinishedSpans().map((span) => ({
      name: span.name,
      attributes: span.attributes,
      status: span.status,
      resource: span.resource.attributes,
    }))
    assert.ok(traced.length > 0)
    assert.match(output, /auburnbay\./, 'metrics were sent')
    assert.match(output, /"part":"daemon"/, 'logs were written')
    const everything = [output, JSON.stringify(traced), ...responses].join('\n')
    const hashes = JSON.stringify(fleet.log.stream('configuration').read(0, 99))
    const stored = [...hashes.matchAll(/"(?:salt|hash)":"([^"]+)"/g)]
    assert.ok(stored.length >= 4)
    const secrets = [
      TEST_ADMIN_TOKEN,
      'test-peer-secret-0123456789',
      'test-hint-secret-0123456789',
      fleet.callerKey.split('/')[2] ?? '',
      created.body.key.split('/')[2] ?? '',
      'a-wrong-but-secret-text',
      'a-wrong-operator-secret',
      ...stored.map((match) => match[1] ?? ''),
    ]
    for (const secret of secrets) {
      assert.ok(secret.length > 10)
      assert.ok(!everything.includes(secret), `${secret} leaked`)
    }
  })
})
