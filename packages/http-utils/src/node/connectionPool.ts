import { Agent, type ClientRequest } from 'node:http'
import { Socket } from 'node:net'
import type { Duplex } from 'node:stream'

/** Where and when a connection was opened. */
interface ConnectionOrigin {
  readonly address: string
  /** Counts up with each connection that is opened. */
  readonly number: number
}

function destroyUnsolicited(this: Duplex): void {
  this.destroy()
}

/** Keeps connections to targets, one request on each at a time. */
export class ConnectionPool extends Agent {
  private opened = 0
  private readonly origins = new WeakMap<Duplex, ConnectionOrigin>()
  private readonly idle = new Map<string, Set<Duplex>>()
  private readonly condemnedUpTo = new Map<string, number>()

  /** @param idleMs Milliseconds that a connection is kept without a request. */
  constructor(private readonly idleMs: number) {
    super({ keepAlive: true })
  }

  /** Records a connection that a request has been given. */
  recordConnection(socket: Duplex, address: string): void {
    if (this.origins.has(socket)) return
    this.opened += 1
    this.origins.set(socket, { address, number: this.opened })
    socket.once('close', () => {
      this.removeIdle(address, socket)
    })
  }

  /** Closes every connection to `address` that was opened up to now. */
  retireConnections(address: string): void {
    this.condemnedUpTo.set(address, this.opened)
    for (const socket of this.idle.get(address) ?? []) socket.destroy()
  }

  // Called by the agent when an answer has ended and the connection could stay.
  override keepSocketAlive(socket: Duplex): boolean {
    const origin = this.origins.get(socket)
    if (origin === undefined || this.isCondemned(origin)) return false
    if (!this.agentKeeps(socket)) return false
    const { idleMs } = this
    if (socket instanceof Socket) socket.setTimeout(idleMs)
    // A target that sends without being asked has lost track of its answers.
    socket.on('data', destroyUnsolicited)
    this.addIdle(origin.address, socket)
    return true
  }

  override reuseSocket(socket: Duplex, req: ClientRequest): void {
    socket.off('data', destroyUnsolicited)
    const origin = this.origins.get(socket)
    if (origin) this.removeIdle(origin.address, socket)
    super.reuseSocket(socket, req)
  }

  private agentKeeps(socket: Duplex): boolean {
    // The declared type is void, but the agent returns whether to keep.
    const keep: (socket: Duplex) => unknown = super.keepSocketAlive.bind(this)
    return keep(socket) === true
  }

  private isCondemned({ address, number }: ConnectionOrigin): boolean {
    return number <= (this.condemnedUpTo.get(address) ?? 0)
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
