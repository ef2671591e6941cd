import type { Agent } from 'node:http'
import type { Socket } from 'node:net'
import { ControlPurpose } from './controlPurpose.js'

/** Counts the bytes of control traffic, headers and TLS included. */
export interface TrafficMeter {
  /** Counts a connection for a purpose. */
  trackSocket(purpose: ControlPurpose, socket: Socket): void
  /** Counts every connection that an agent opens from now on. */
  trackAgent<T extends Agent>(purpose: ControlPurpose, agent: T): T
  /** Bytes sent and received so far, by purpose. */
  bytes(): Record<ControlPurpose, number>
}

type OpenConnection = (...args: unknown[]) => Socket

function transferredBytes(socket: Socket): number {
  return socket.bytesRead + socket.bytesWritten
}

/** Creates the meter of one router. */
export function createTrafficMeter(): TrafficMeter {
  const open = new Map<Socket, ControlPurpose>()
  const closed = new Map<ControlPurpose, number>()

  function track(purpose: ControlPurpose, socket: Socket): void {
    open.set(socket, purpose)
    socket.once('close', () => {
      open.delete(socket)
      closed.set(purpose, (closed.get(purpose) ?? 0) + transferredBytes(socket))
    })
  }

  return {
    trackSocket: track,
    trackAgent(purpose, agent) {
      const connector = agent as unknown as { createConnection: OpenConnection }
      const connect = connector.createConnection.bind(agent)
      connector.createConnection = (...args) => {
        const socket = connect(...args)
        track(purpose, socket)
        return socket
      }
      return agent
    },
    bytes() {
      const totals = Object.fromEntries(
        Object.values(ControlPurpose).map((purpose) => [
          purpose,
          closed.get(purpose) ?? 0,
        ]),
      ) as Record<ControlPurpose, number>
      for (const [socket, purpose] of open)
        totals[purpose] += transferredBytes(socket)
      return totals
    },
  }
}
