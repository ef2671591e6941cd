// A proxy before each replica, which can cut one process from all of them: its connections are reset, or hang.
import { readdirSync, readFileSync, readlinkSync } from 'node:fs'
import { connect, createServer } from 'node:net'

/** Returns the inode of the socket that has a local port and is connected to another one. */
function inodeOf(localPort, remotePort) {
  const hex = (port) => port.toString(16).toUpperCase().padStart(4, '0')
  for (const line of readFileSync('/proc/net/tcp', 'utf8').split('\n')) {
    const fields = line.trim().split(/\s+/)
    const isWanted =
      fields[1]?.endsWith(`:${hex(localPort)}`) &&
      fields[2]?.endsWith(`:${hex(remotePort)}`)
    if (isWanted) return fields[9]
  }
  return undefined
}

/** Whether a process has a socket open. */
function hasSocket(pid, inode) {
  try {
    return readdirSync(`/proc/${pid}/fd`).some((fd) => {
      try {
        return readlinkSync(`/proc/${pid}/fd/${fd}`) === `socket:[${inode}]`
      } catch {
        return false
      }
    })
  } catch {
    return false
  }
}

/** Creates a network without proxies. */
export function createNetwork() {
  const open = new Set()
  const servers = []
  let cut

  const isCut = (pair) =>
    cut !== undefined && hasSocket(cut.pid, inodeOf(pair.from, pair.to))

  function breakOff(pair) {
    pair.isCut = true
    pair.target?.destroy()
    if (cut.how === 'reset') pair.client.resetAndDestroy()
    else pair.client.pause()
  }

  return {
    /** Starts a proxy before an address; returns its port. */
    async proxy(host, port) {
      const server = createServer((client) => {
        const pair = { client, from: client.remotePort, to: client.localPort }
        open.add(pair)
        client.on('error', () => undefined)
        client.once('close', () => {
          open.delete(pair)
          if (!pair.isCut) pair.target?.destroy()
        })
        if (isCut(pair)) {
          breakOff(pair)
          return
        }
        const target = connect({ host, port })
        pair.target = target
        target.on('error', () => client.resetAndDestroy())
        target.once('close', (hadError) => {
          if (!pair.isCut && !hadError) client.end()
        })
        client.pipe(target)
        target.pipe(client)
      })
      servers.push(server)
      await new Promise((resolve) => server.listen(0, host, resolve))
      return server.address().port
    },
    /** Cuts a process from all replicas: `how` is `reset` or `hang`. */
    cut(pid, how) {
      cut = { pid, how }
      for (const pair of open) if (isCut(pair)) breakOff(pair)
    },
    heal() {
      cut = undefined
      for (const pair of open) if (pair.isCut) pair.client.destroy()
    },
    close() {
      for (const server of servers) server.close()
      for (const { client, target } of open) {
        client.destroy()
        target?.destroy()
      }
    },
  }
}
