// Starts routers as the deploy file says, with a store and an operator.
import { spawn } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { get } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { BOUNDS, renderSettings, ROOT, runCommand } from './settings.mjs'
import { startStore } from './store.mjs'

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms))

/** Returns a port that is free on `host`. */
export function freePort(host) {
  return new Promise((resolve, reject) => {
    const server = createServer()
    server.once('error', reject)
    server.listen(0, host, () => {
      const { port } = server.address()
      server.close(() => resolve(port))
    })
  })
}

function isReady(url) {
  return new Promise((resolve) => {
    const req = get(url, { agent: false, timeout: 500 }, (res) => {
      res.resume()
      resolve(res.statusCode === 200)
    })
    req.on('timeout', () => req.destroy())
    req.on('error', () => resolve(false))
  })
}

/** Starts a fleet; each router has a loopback address of its own. */
export async function startFleet({ routers: count, zones = ['hall-a'] }) {
  const folder = mkdtempSync(join(tmpdir(), 'review-'))
  // Part of the loopback network for this run alone, as metrics have a fixed port.
  const net = `127.${64 + (process.pid % 128)}.${1 + ((process.pid >> 7) % 254)}`
  const store = await startStore(`${net}.1`)
  const children = new Set()
  const routers = []

  const [callersPort, readinessPort, peersPort] = await Promise.all(
    [1, 2, 3].map(() => freePort(`${net}.10`)),
  )

  function startProcess(router) {
    const [program, ...args] = runCommand()
    const child = spawn(program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG ?? 'C',
        AUBURNBAY_CONFIG: router.settingsFile,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    })
    router.child = child
    router.exit = undefined
    router.log ??= ''
    child.stdout.on('data', (text) => (router.log += String(text)))
    child.stderr.on('data', (text) => (router.log += String(text)))
    children.add(child)
    child.on('exit', (code, signal) => {
      children.delete(child)
      if (router.child === child) {
        router.exit = { code, signal, atMs: performance.now() }
        router.onExit?.()
      }
    })
  }

  function writeSettings(router, bootstrap) {
    const { ip } = router
    const fields = {
      'node-name': router.name,
      zone: router.zone,
      'ip-address': ip,
      bootstrap,
      'listen-addresses': {
        frontend: `${ip}:${callersPort}`,
        readiness: `${ip}:${readinessPort}`,
      },
      'internal-ports': [peersPort, peersPort],
      platform: { address: store.address },
      bounds: BOUNDS,
    }
    writeFileSync(router.settingsFile, renderSettings(fields))
  }

  for (let i = 0; i < count; i += 1) {
    const zone = zones[i % zones.length]
    const router = {
      name: `frontend-${zone}-${i + 1}`,
      zone,
      ip: `${net}.${10 + i}`,
      port: callersPort,
      settingsFile: join(folder, `settings-${i}.json`),
    }
    writeSettings(router, true)
    startProcess(router)
    routers.push(router)
  }

  const ready = (router) =>
    isReady(`http://${router.ip}:${readinessPort}/v1/readiness`)

  return {
    net,
    store,
    routers,
    ready,
    /** Starts the process of a router again. */
    restart(router) {
      writeSettings(router, false)
      startProcess(router)
    },
    async waitUntilReady(limitMs = 15_000) {
      const untilMs = performance.now() + limitMs
      for (const router of routers)
        while (!(await ready(router))) {
          if (performance.now() > untilMs)
            throw new Error('no router got ready')
          await sleep(100)
        }
    },
    /** Ends every process that was started here. */
    async close() {
      store.close()
      for (const child of children) {
        child.kill('SIGCONT')
        child.kill('SIGKILL')
      }
      rmSync(folder, { recursive: true, force: true })
      await sleep(100)
    },
  }
}
