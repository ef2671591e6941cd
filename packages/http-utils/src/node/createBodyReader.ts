import type { IncomingMessage } from 'node:http'
import { createByteCollector } from './createByteCollector.js'
import { processPacer } from './createReadPacer.js'
import { HoldReason, readControlOf } from './readControl.js'

/** Options for {@link createBodyReader}. */
export interface BodyReaderOptions {
  /** Called once for all pieces that a read of the connection brought. */
  readonly onData: (bytes: Buffer) => void
  /** Called once at the end; `isComplete` is false if the body broke off. */
  readonly onEnd: (isComplete: boolean) => void
  /** Called instead of `onEnd` with an exception of `onData`, after which the body is not read further. */
  readonly onException: (error: Error) => void
}

/** Reads the body of a message. */
export interface BodyReader {
  /** Stops reading from the connection until {@link BodyReader.resume}. */
  pause(): void
  resume(): void
  /** Ends without a further call; the rest of the body is not read. */
  stop(): void
}

/** Pieces of a read beyond which the connection rests before the next one. */
const MAX_PIECES_AT_ONCE = 64

const ignoreData = (): void => undefined

/**
 * Reads a body. A connection that brings many small pieces is read once per turn of
 * the event loop at most, and rests in between, so that others are served.
 */
export function createBodyReader(
  message: IncomingMessage,
  options: BodyReaderOptions,
): BodyReader {
  const { socket } = message
  const control = readControlOf(socket)
  const collector = createByteCollector()
  let restTimer: NodeJS.Timeout | undefined
  let pieceCount = 0
  let ended = false

  function endRest(): void {
    if (restTimer === undefined) return
    clearTimeout(restTimer)
    restTimer = undefined
    processPacer.end()
    control.release(HoldReason.Pacing)
  }

  function stop(): void {
    ended = true
    socket.off('data', ignoreData)
    message.off('data', onPiece)
    message.off('end', onMessageEnd)
    message.off('error', onBroken)
    message.off('close', onBroken)
    endRest()
    control.release(HoldReason.Pacing)
    control.release(HoldReason.Backpressure)
  }

  function rest(pieces: number): void {
    if (restTimer !== undefined) return
    restTimer = setTimeout(endRest, processPacer.begin(pieces))
  }

  function flush(): void {
    const { pieces } = collector
    if (ended || pieces === 0) return
    if (pieces >= MAX_PIECES_AT_ONCE) rest(pieces)
    // An exception in a listener would end the process.
    try {
      options.onData(collector.take())
    } catch (error) {
      stop()
      options.onException(
        error instanceof Error ? error : new Error(String(error)),
      )
    }
  }

  function onPiece(piece: Buffer): void {
    pieceCount += 1
    // Otherwise Node's HTTP server runs the next tick after each chunk, not after each read.
    if (pieceCount === MAX_PIECES_AT_ONCE) socket.on('data', ignoreData)
    collector.add(piece)
    // The rest of the read is parsed before the next tick.
    if (collector.pieces === 1) process.nextTick(flush)
    if (collector.pieces === MAX_PIECES_AT_ONCE) control.hold(HoldReason.Pacing)
  }

  function finish(isComplete: boolean): void {
    flush()
    if (ended) return
    stop()
    options.onEnd(isComplete)
  }

  function onMessageEnd(): void {
    finish(message.complete)
  }

  function onBroken(): void {
    finish(message.complete && message.readableEnded)
  }

  message.on('data', onPiece)
  message.on('end', onMessageEnd)
  message.on('error', onBroken)
  message.on('close', onBroken)
  if (message.destroyed || message.readableEnded) process.nextTick(onBroken)
  return {
    pause() {
      if (!ended) control.hold(HoldReason.Backpressure)
    },
    resume() {
      control.release(HoldReason.Backpressure)
    },
    stop,
  }
}
