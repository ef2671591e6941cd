import { Agent, createServer, request } from 'node:http'
import { listen } from '@auburnbay/http-utils'

// The least that any router must do: one hop over Node's http, nothing else.
const target = process.argv[2] ?? ''
const agent = new Agent({ keepAlive: true })

const server = createServer((req, res) => {
  const { method, headers, url = '/' } = req
  const out = request(`http://${target}${url}`, { method, headers, agent })
  out.once('response', (answer) => {
    res.writeHead(answer.statusCode ?? 502, answer.headers)
    answer.pipe(res)
  })
  out.once('error', () => res.destroy())
  req.pipe(out)
})

const address = await listen(server, { host: '127.0.0.1', port: 0 })
process.send?.({ type: 'ready', address })
process.once('SIGTERM', () => process.exit(0))
process.once('disconnect', () => process.exit(0))
