import type { Agent } from 'node:http'
import type { Socket } from 'node:net'
import { ControlPurpose } from './controlPurpose.js'

/** Counts the bytes of control traffic, including headers and TLS. */
export interface TrafficMeter {
  /** Counts the bytes of a connection under a purpose. */
  trackSocket(purpose: ControlPurpose, socket: Socket): void
  /** Counts the bytes of each connection that an agent opens from now on. */
  trackAgent<T extends Agent>(purpose: ControlPurpose, agent: T): T
  /** Returns the bytes sent and received so far, by purpose. */
  bytes(): Record<ControlPurpose, number>
}

type OpenConnection = (...args: unknown[]) => Socket

function transferredBytes(socket: Socket): number {
  return socket.bytesRead + socket.bytesWritten
}

/** Creates the traffic meter of a router. */
export function createTrafficMeter(): TrafficMeter {
  const openSockets = new Map<Socket, ControlPurpose>()
  const closedBytes = new Map<ControlPurpose, number>()

  function trackSocket(purpose: ControlPurpose, socket: Socket): void {
    openSockets.set(socket, purpose)
    socket.once('close', () => {
      openSockets.delete(socket)
      closedBytes.set(
        purpose,
        (closedBytes.get(purpose) ?? 0) + transferredBytes(socket),
      )
    })
  }

  return {
    trackSocket,
    trackAgent(purpose, agent) {
      const connector = agent as unknown as { createConnection: OpenConnection }
      const connect = connector.createConnection.bind(agent)
      connector.createConnection = (...args) => {
        const socket = connect(...args)
        trackSocket(purpose, socket)
        return socket
      }
      return agent
    },
    bytes() {
      const totals = Object.fromEntries(
        Object.values(ControlPurpose).map((purpose) => [
          purpose,
          closedBytes.get(purpose) ?? 0,
        ]),
      ) as Record<ControlPurpose, number>
      for (const [socket, purpose] of openSockets)
        totals[purpose] += transferredBytes(socket)
      return totals
    },
  }
}
