import assert from 'node:assert/strict'
import { createServer, type IncomingHttpHeaders } from 'node:http'
import { after, before, beforeEach, describe, it } from 'node:test'
import {
  closeServer,
  formatAddress,
  listen,
  sendJson,
  type WebServer,
} from '@auburnbay/http-utils'
import {
  InMemorySpanExporter,
  type ReadableSpan,
  SimpleSpanProcessor,
} from '@opentelemetry/sdk-trace-base'
import { addService } from '../../__tests__/addService.js'
import { callApi, callChat } from '../../__tests__/callApi.js'
import {
  eventually,
  type Fleet,
  startFleet,
} from '../../__tests__/startFleet.js'
import { Hop } from '../createTracing.js'

const TRACE_ID = '0af7651916cd43dd8448eb211c80319c'
const PARENT_ID = 'b7ad6b7169203331'
const TRACEPARENT = `00-${TRACE_ID}-${PARENT_ID}-01`

describe('tracing', () => {
  let fleet: Fleet
  let target: WebServer
  let targetHeaders: IncomingHttpHeaders = {}
  const exporter = new InMemorySpanExporter()

  before(async () => {
    target = createServer((req, res) => {
      if (req.url !== '/load') targetHeaders = req.headers
      const id = req.headers['x-request-id'] ?? ''
      sendJson(res, 200, { inFlight: 0 }, { 'x-request-id': id })
    })
    const address = await listen(target, { host: '127.0.0.1', port: 0 })
    fleet = await startFleet({
      routers: 2,
      engines: 1,
      daemon: { spanProcessors: [new SimpleSpanProcessor(exporter)] },
    })
    const operations = [
      ...addService('echo', formatAddress(address)),
      {
        op: 'add',
        path: '/rules/urgent',
        value: { service: 'briefing', rank: 2 },
      },
    ]
    assert.equal((await fleet.patch(operations, 1)).status, 200)
  })

  after(async () => {
    await fleet.stop()
    await closeServer(target)
  })

  beforeEach(() => {
    exporter.reset()
  })

  const spans = (hop: Hop): ReadableSpan[] =>
    exporter.getFinishedSpans().filter((span) => span.name === (hop as string))
  const finishedSpans = (hop: Hop, count: number): Promise<void> =>
    eventually(() => spans(hop).length === count)

  it('records a span for each hop with customer, service, target, rank and verdict', async () => {
    const headers = { traceparent: TRACEPARENT }
    await callChat(fleet.callerUrl(), fleet.callerKey, 'voyage', headers)
    await finishedSpans(Hop.Accept, 1)
    await finishedSpans(Hop.Target, 1)
    const [accept] = spans(Hop.Accept)
    assert.equal(accept?.parentSpanContext?.spanId, PARENT_ID)
    for (const hop of [Hop.Accept, Hop.Queue, Hop.Decide, Hop.Target]) {
      const [span] = spans(hop)
      assert.ok(span, hop)
      assert.equal(span.spanContext().traceId, TRACE_ID)
      assert.equal(span.attributes.customer, 'corrib')
      assert.equal(span.attributes.service, 'briefing')
      assert.equal(span.attributes.rank, 2)
      if (hop === Hop.Accept) continue
      const parent = span.parentSpanContext?.spanId
      assert.equal(parent, accept.spanContext().spanId, hop)
    }
    assert.equal(spans(Hop.Decide)[0]?.attributes.target, 'engine-1')
    assert.equal(spans(Hop.Target)[0]?.attributes.target, 'engine-1')
    assert.equal(spans(Hop.Target)[0]?.attributes.verdict, 'ran')
    assert.equal(accept.attributes.verdict, 'ran')
  })

  it('propagates the trace context to the target', async () => {
    await callApi({
      url: `${fleet.callerUrl()}/v1/services/echo/x`,
      headers: {
        authorization: `Bearer ${fleet.callerKey}`,
        traceparent: TRACEPARENT,
      },
    })
    await finishedSpans(Hop.Target, 1)
    const spanId = spans(Hop.Target)[0]?.spanContext().spanId ?? ''
    assert.equal(targetHeaders.traceparent, `00-${TRACE_ID}-${spanId}-01`)
  })

  it('joins the spans of two routers in one trace', async () => {
    const headers = { traceparent: TRACEPARENT }
    for (const router of [0, 1])
      await callChat(fleet.callerUrl(router), fleet.callerKey, 'v', headers)
    await finishedSpans(Hop.Accept, 2)
    const routers = spans(Hop.Accept).map((span) => {
      assert.equal(span.spanContext().traceId, TRACE_ID)
      return span.resource.attributes['service.instance.id']
    })
    assert.deepEqual(routers, ['router-1', 'router-2'])
  })

  it('records the verdict of a failed request', async () => {
    const { faults } = fleet.engines[0] ?? {}
    assert.ok(faults)
    faults.refuse = true
    try {
      const response = await callChat(fleet.callerUrl(), fleet.callerKey, 'v')
      assert.ok(response.status >= 500)
      await finishedSpans(Hop.Accept, 1)
      assert.equal(spans(Hop.Accept)[0]?.attributes.verdict, 'not-run')
      assert.equal(spans(Hop.Target)[0]?.attributes.verdict, 'not-run')
    } finally {
      faults.refuse = false
    }
  })
})
