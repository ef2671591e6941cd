import type { Socket } from 'node:net'

/** Why a connection is not read for now. */
export enum HoldReason {
  /** The end of the connection must be read separately from the data before it. */
  BetweenReads = 1,
  /** The reader cannot take more. */
  Backpressure = 2,
  /** The connection has used its part of the processor. */
  Pacing = 4,
  /** Requests that were sent ahead wait for the responses to earlier ones. */
  RequestsWaiting = 8,
  /** More requests were sent ahead than the connection may. */
  RequestsAhead = 16,
}

/** Stops and starts reading from a connection, which is read while no reason holds it. */
export interface ReadControl {
  hold(reason: HoldReason): void
  release(reason: HoldReason): void
}

/** Methods of Node's internal socket handle, which its HTTP parser uses as well. */
interface ReadingHandle {
  readStart(): number
  readStop(): number
}

function handleOf(socket: Socket): ReadingHandle | null {
  return (socket as unknown as { _handle: ReadingHandle | null })._handle
}

function createReadControl(socket: Socket): ReadControl {
  let reasons = 0
  return {
    hold(reason) {
      // `socket.pause()` would stop reading only after its buffer is full.
      if (reasons === 0) handleOf(socket)?.readStop()
      reasons |= reason
    },
    release(reason) {
      if ((reasons & reason) === 0) return
      reasons &= ~reason
      if (reasons === 0) handleOf(socket)?.readStart()
    },
  }
}

const controls = new WeakMap<Socket, ReadControl>()

/** Returns the control of a connection. */
export function readControlOf(socket: Socket): ReadControl {
  const known = controls.get(socket)
  if (known) return known
  const control = createReadControl(socket)
  controls.set(socket, control)
  return control
}
