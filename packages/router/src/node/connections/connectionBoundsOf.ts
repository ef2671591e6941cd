import {
  type ConnectionBounds,
  REQUEST_BYTES,
} from './createConnectionBudget.js'
import type { ProcessLimits } from './readProcessLimits.js'

/** Servers of a router, each with its own part of the process's limits. */
export enum ServerKind {
  Callers = 'callers',
  Peers = 'peers',
  Status = 'status',
}

/** Bounds that settings replace. */
export type ConnectionSettings = Partial<ConnectionBounds>

/**
 * Part of the descriptors for the connections of each server. A request of a caller
 * needs one more for its target, see {@link REQUEST_PART}; a quarter is left
 * for cached connections to targets, for peers and the log.
 */
const CONNECTION_PARTS: Readonly<Record<ServerKind, number>> = {
  [ServerKind.Callers]: 3 / 8,
  [ServerKind.Peers]: 1 / 8,
  [ServerKind.Status]: 1 / 64,
}
/** Part of the descriptors for requests, each of which needs a connection to a target. */
const REQUEST_PART = 1 / 4
/** Part of the heap for the objects of requests. */
const HEAP_PART = 1 / 4
/** Part of the heap for heads that have not ended. */
const HEADS_PART = 1 / 4
/** Heap of a byte of such a head, in bytes: each short header becomes two strings. */
const HEAP_PER_HEAD_BYTE = 8
/** Part of the VM's memory for requests, bodies and responses; the runtime and its garbage need as much again. */
const MEMORY_PART = 0.3

/** Returns the bounds of a server from the limits of the process and the settings. */
export function connectionBoundsOf(
  kind: ServerKind,
  limits: ProcessLimits,
  settings: ConnectionSettings = {},
): ConnectionBounds {
  const { descriptors, memoryBytes, heapBytes } = limits
  const heapRequests = (HEAP_PART * heapBytes) / REQUEST_BYTES
  return {
    maxConnections: Math.ceil(CONNECTION_PARTS[kind] * descriptors),
    maxRequests: Math.ceil(Math.min(REQUEST_PART * descriptors, heapRequests)),
    maxBytes: MEMORY_PART * memoryBytes,
    maxHeadBytes: (HEADS_PART * heapBytes) / HEAP_PER_HEAD_BYTE,
    ...settings,
  }
}
