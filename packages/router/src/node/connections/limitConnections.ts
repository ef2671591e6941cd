import type { Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { HoldReason, readControlOf } from '@auburnbay/http-utils/readControl'
import { stopParsing } from '@auburnbay/http-utils/stopParsing'
import {
  type BudgetedConnection,
  type ConnectionBounds,
  createConnectionBudget,
} from './createConnectionBudget.js'
import { CloseReason } from './closeReason.js'
import { createRequestGate, type RequestGate } from './createRequestGate.js'

/** Interval of checks of connections whose client does not read, in milliseconds. */
const UNREAD_CHECK_MS = 1_000
/** Interval of checks of heads that have not ended, in milliseconds: a 140 Mbit/s link brings 1.7 MB meanwhile. */
const HEAD_CHECK_MS = 100
/** Time without progress after which a response counts as unread, in milliseconds; longer than any request may take. */
const UNREAD_TIMEOUT_MS = 30_000
/** Interval in which a connection is read while requests wait, in milliseconds: shows that its client has left. */
const WAITING_READ_MS = 250

/** Status of a response to a request for which there is no room. */
const NO_ROOM_STATUS = 503

/** Options for {@link limitConnections}. */
export interface ConnectionLimitsOptions {
  readonly bounds: ConnectionBounds
  /** Called when a connection is closed because of a bound. */
  readonly onClosed: (reason: CloseReason, client: string) => void
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** What the connections of a server hold. */
export interface ConnectionUse {
  readonly connections: number
  readonly requests: number
  readonly bytes: number
}

/** Bounds what the clients of a server make it hold. */
export interface ConnectionLimits {
  readonly use: ConnectionUse
  /**
   * Runs a request once its connection has room for it; it gets the milliseconds for which it has waited.
   * @param refuse Responds that the server has no room for the request, which is not run.
   */
  submit(
    res: ServerResponse,
    run: (waitedMs: number) => void,
    refuse?: () => void,
  ): void
  /** Counts `bytes` more for the request of a response, or fewer if negative; returns whether there is room for them. */
  tryAddBytes(res: ServerResponse, bytes: number): boolean
  /** Counts the request of a response as one that a target works on, until `end` is called. */
  beginWork(res: ServerResponse): { end(): void }
  stop(): void
}

interface Connection {
  readonly socket: Socket
  readonly budgeted: BudgetedConnection
  readonly gate: RequestGate
  /** Responses of the requests that the budget counts. */
  readonly counted: Set<ServerResponse>
  /** Bytes that were sent at the last check. */
  sentBytes: number
  progressAtMs: number
  /** Bytes that were read when the last request ended. */
  headStartBytes: number
}

function sentBytesOf(socket: Socket): number {
  return socket.bytesWritten - socket.writableLength
}

function refusePlainly(res: ServerResponse): void {
  res.writeHead(NO_ROOM_STATUS, { 'Content-Length': 0, Connection: 'close' })
  res.end()
}

/** Starts to limit the connections of a server; call it before the server listens. */
export function limitConnections(
  server: Server,
  options: ConnectionLimitsOptions,
): ConnectionLimits {
  const { bounds, onClosed, now } = options
  const budget = createConnectionBudget(bounds)
  const connections = new Map<Socket, Connection>()

  function close(socket: Socket, reason: CloseReason): void {
    const client = socket.remoteAddress ?? ''
    stopParsing(socket)
    socket.destroy()
    onClosed(reason, client)
  }

  /** Reads a connection now and then while requests wait, so that the end of the connection is seen. */
  function readSlowly(socket: Socket): (isWaiting: boolean) => void {
    const control = readControlOf(socket)
    let timer: NodeJS.Timeout | undefined
    let wasWaiting = false
    return (isWaiting) => {
      if (isWaiting === wasWaiting) return
      wasWaiting = isWaiting
      clearInterval(timer)
      control.release(HoldReason.RequestsWaiting)
      if (!isWaiting) return
      control.hold(HoldReason.RequestsWaiting)
      timer = setInterval(() => {
        if (socket.destroyed) {
          clearInterval(timer)
          return
        }
        control.release(HoldReason.RequestsWaiting)
        setImmediate(() => {
          if (!socket.destroyed) control.hold(HoldReason.RequestsWaiting)
        })
      }, WAITING_READ_MS)
    }
  }

  server.on('connection', (socket: Socket) => {
    const read = readSlowly(socket)
    const counted = new Set<ServerResponse>()
    const gate = createRequestGate({
      hasRoomAhead: () => budget.hasRoomAhead,
      onWaiting: (count) => {
        read(count > 0)
        budgeted.setWaiting(count)
      },
      onLast: (last) => {
        last.once('close', () => {
          socket.destroySoon()
        })
      },
      onExceeded: () => {
        stopParsing(socket)
        readControlOf(socket).hold(HoldReason.RequestsAhead)
        onClosed(CloseReason.RequestsAhead, socket.remoteAddress ?? '')
      },
      now,
    })
    const budgeted: BudgetedConnection = budget.open({
      close: (reason) => {
        close(socket, reason)
      },
      dropWaiting: () => {
        for (const res of gate.dropWaiting()) counted.delete(res)
      },
    })
    connections.set(socket, {
      socket,
      budgeted,
      gate,
      counted,
      sentBytes: 0,
      progressAtMs: now(),
      headStartBytes: 0,
    })
    socket.once('close', () => {
      read(false)
      gate.close()
      budgeted.end()
      connections.delete(socket)
    })
  })

  // Before the server's own listener, which may submit the request.
  server.prependListener('request', (req, res) => {
    const connection = connections.get(req.socket)
    if (!connection) return
    const { budgeted, counted, socket } = connection
    if (budgeted.beginRequest()) counted.add(res)
    res.once('close', () => {
      if (counted.delete(res)) budgeted.endRequest()
      connection.headStartBytes = socket.bytesRead
    })
  })

  function checkUnread(): void {
    for (const connection of connections.values()) {
      const { socket } = connection
      const sentBytes = sentBytesOf(socket)
      if (socket.writableLength === 0 || sentBytes !== connection.sentBytes) {
        connection.sentBytes = sentBytes
        connection.progressAtMs = now()
        continue
      }
      if (now() - connection.progressAtMs >= UNREAD_TIMEOUT_MS)
        close(socket, CloseReason.Unread)
    }
  }
  function checkHeads(): void {
    for (const { socket, budgeted, headStartBytes } of connections.values())
      if (budgeted.requests === 0)
        budgeted.setHeadBytes(socket.bytesRead - headStartBytes)
  }
  const checks = [
    setInterval(checkUnread, UNREAD_CHECK_MS).unref(),
    setInterval(checkHeads, HEAD_CHECK_MS).unref(),
  ]

  const connectionOf = (res: ServerResponse): Connection | undefined =>
    connections.get(res.req.socket)

  return {
    use: budget,
    submit(res, run, refuse) {
      const connection = connectionOf(res)
      // The connection may have been closed before, or as the one that uses most.
      if (!connection || connection.socket.destroyed) return
      const { counted, gate } = connection
      if (counted.has(res)) gate.submit(res, run)
      else if (gate.isBusy) gate.exceed()
      else if (refuse) refuse()
      else refusePlainly(res)
    },
    tryAddBytes: (res, bytes) =>
      connectionOf(res)?.budgeted.tryAddBytes(bytes) ?? false,
    beginWork(res) {
      const budgeted = connectionOf(res)?.budgeted
      budgeted?.beginWork()
      return { end: () => budgeted?.endWork() }
    },
    stop() {
      for (const check of checks) clearInterval(check)
    },
  }
}
