import { createSocket } from 'node:dgram'
import { once } from 'node:events'

/** Sums the control bytes that a router reports over StatsD. */
export interface StatsReader {
  readonly port: number
  /** Returns the bytes so far, by purpose. */
  controlBytes(): Record<string, number>
  close(): void
}

const BYTES_METRIC = /^auburnbay\.control\.bytes:(\d+)\|c\|#.*purpose:([\w-]+)/

/** Starts a StatsD listener on a free UDP port. */
export async function createStatsReader(): Promise<StatsReader> {
  const bytes: Record<string, number> = {}
  const socket = createSocket('udp4')
  socket.on('message', (message) => {
    for (const line of message.toString('utf8').split('\n')) {
      const [, count, purpose] = BYTES_METRIC.exec(line) ?? []
      if (purpose === undefined) continue
      bytes[purpose] = (bytes[purpose] ?? 0) + Number(count)
    }
  })
  socket.bind(0, '127.0.0.1')
  await once(socket, 'listening')
  return {
    port: socket.address().port,
    controlBytes: () => ({ ...bytes }),
    close: () => {
      socket.close()
    },
  }
}
