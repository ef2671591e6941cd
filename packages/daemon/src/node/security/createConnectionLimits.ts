import type { Socket } from 'node:net'

/** How many connections callers may hold open. */
export interface ConnectionLimitOptions {
  /** From one address; no limit when absent. */
  readonly maxPerAddress?: number
  /** Of one customer. */
  readonly maxPerCustomer: number
}

/** Counts callers' open connections. */
export interface ConnectionLimits {
  /** Counts a new connection; false when its address has too many. */
  open(socket: Socket): boolean
  /** Counts a connection for a customer; false when it has too many. */
  claim(customer: string, socket: Socket): boolean
}

function remove<K>(sets: Map<K, Set<Socket>>, key: K, socket: Socket): void {
  const set = sets.get(key)
  set?.delete(socket)
  if (set?.size === 0) sets.delete(key)
}

function add<K>(
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
    remove(sets, key, socket)
  })
  return true
}

/** Creates the counts of one listener. */
export function createConnectionLimits(
  options: ConnectionLimitOptions,
): ConnectionLimits {
  const byAddress = new Map<string, Set<Socket>>()
  const byCustomer = new Map<string, Set<Socket>>()
  const { maxPerAddress = Infinity, maxPerCustomer } = options
  return {
    open: (socket) =>
      add(byAddress, socket.remoteAddress ?? '', socket, maxPerAddress),
    claim: (customer, socket) =>
      add(byCustomer, customer, socket, maxPerCustomer),
  }
}
