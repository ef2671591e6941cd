import type { Socket } from 'node:net'

/** Maximum numbers of open connections. */
export interface ConnectionLimitOptions {
  /** Per remote address; unlimited when absent. */
  readonly maxPerAddress?: number
  /** Per customer. */
  readonly maxPerCustomer: number
}

/** Limits callers' open connections. */
export interface ConnectionLimits {
  /** Adds a new connection; false when its address is at the limit. */
  add(socket: Socket): boolean
  /** Assigns a connection to a customer; false when the customer is at the limit. */
  assign(customer: string, socket: Socket): boolean
}

function removeSocket<K>(
  sets: Map<K, Set<Socket>>,
  key: K,
  socket: Socket,
): void {
  const set = sets.get(key)
  set?.delete(socket)
  if (set?.size === 0) sets.delete(key)
}

function tryAddSocket<K>(
  sets: Map<K, Set<Socket>>,
  key: K,
  socket: Socket,
  max: number,
): boolean {
  const set = sets.get(key) ?? new Set()
  if (set.has(socket)) return true
  if (set.size >= max) return false
  set.add(socket)
  sets.set(key, set)
  socket.once('close', () => {
    removeSocket(sets, key, socket)
  })
  return true
}

/** Creates the connection limits of one server. */
export function createConnectionLimits(
  options: ConnectionLimitOptions,
): ConnectionLimits {
  const byAddress = new Map<string, Set<Socket>>()
  const byCustomer = new Map<string, Set<Socket>>()
  const { maxPerAddress = Infinity, maxPerCustomer } = options
  return {
    add: (socket) =>
      tryAddSocket(
        byAddress,
        socket.remoteAddress ?? '',
        socket,
        maxPerAddress,
      ),
    assign: (customer, socket) =>
      tryAddSocket(byCustomer, customer, socket, maxPerCustomer),
  }
}
