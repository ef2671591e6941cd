import { Agent, createServer, request } from 'node:http'
import { listen } from '@auburnbay/http-utils'

// Baseline for a router: forwards requests over Node's http and does nothing else.
const target = process.argv[2] ?? ''
const agent = new Agent({ keepAlive: true })

const server = createServer((req, res) => {
  const { method, headers, url = '/' } = req
  const upstreamReq = request(`http://${target}${url}`, {
    method,
    headers,
    agent,
  })
  upstreamReq.once('response', (upstreamRes) => {
    res.writeHead(upstreamRes.statusCode ?? 502, upstreamRes.headers)
    upstreamRes.pipe(res)
  })
  upstreamReq.once('error', () => res.destroy())
  req.pipe(upstreamReq)
})

const address = await listen(server, { host: '127.0.0.1', port: 0 })
process.send?.({ type: 'ready', address })
process.once('SIGTERM', () => process.exit(0))
process.once('disconnect', () => process.exit(0))
