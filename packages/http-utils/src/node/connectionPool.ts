import { Agent, type ClientRequest } from 'node:http'
import { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { guardIdleConnection } from './guardIdleConnection.js'

/** Target address and sequence number of a connection. */
interface ConnectionOrigin {
  readonly address: string
  /** Increases with each connection that is opened. */
  readonly sequence: number
}

/**
 * HTTP agent that keeps connections to targets alive, with one request at a time on
 * each, and can retire them by address.
 */
export class ConnectionPool extends Agent {
  private openedCount = 0
  private readonly origins = new WeakMap<Duplex, ConnectionOrigin>()
  private readonly idle = new Map<string, Set<Duplex>>()
  private readonly retiredUpTo = new Map<string, number>()

  /** @param idleMs Time that an idle connection is kept, in milliseconds. */
  constructor(private readonly idleMs: number) {
    super({ keepAlive: true })
  }

  /**
   * Records the address of a connection that was assigned to a request; returns
   * whether it carried an earlier one.
   */
  recordConnection(socket: Duplex, address: string): boolean {
    guardIdleConnection(socket)
    if (this.origins.has(socket)) return true
    this.openedCount += 1
    this.origins.set(socket, { address, sequence: this.openedCount })
    socket.once('close', () => {
      this.removeIdle(address, socket)
    })
    return false
  }

  /** Retires the connections to `address` opened so far: idle ones are closed, the others not reused. */
  retireConnections(address: string): void {
    this.retiredUpTo.set(address, this.openedCount)
    for (const socket of this.idle.get(address) ?? []) socket.destroy()
  }

  // Called by the agent when a response has ended and the connection could be reused.
  override keepSocketAlive(socket: Duplex): boolean {
    const origin = this.origins.get(socket)
    if (origin === undefined || this.isRetired(origin)) return false
    if (!this.agentKeeps(socket)) return false
    const { idleMs } = this
    if (socket instanceof Socket) socket.setTimeout(idleMs)
    this.addIdle(origin.address, socket)
    return true
  }

  override reuseSocket(socket: Duplex, req: ClientRequest): void {
    const origin = this.origins.get(socket)
    if (origin) this.removeIdle(origin.address, socket)
    super.reuseSocket(socket, req)
  }

  private agentKeeps(socket: Duplex): boolean {
    // The declared type is void, but the agent returns whether to keep the socket.
    const keep: (socket: Duplex) => unknown = super.keepSocketAlive.bind(this)
    return keep(socket) === true
  }

  private isRetired({ address, sequence }: ConnectionOrigin): boolean {
    return sequence <= (this.retiredUpTo.get(address) ?? 0)
  }

  private addIdle(address: string, socket: Duplex): void {
    const sockets = this.idle.get(address) ?? new Set()
    this.idle.set(address, sockets.add(socket))
  }

  private removeIdle(address: string, socket: Duplex): void {
    const sockets = this.idle.get(address)
    sockets?.delete(socket)
    if (sockets?.size === 0) this.idle.delete(address)
  }
}
