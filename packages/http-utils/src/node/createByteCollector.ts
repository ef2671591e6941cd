/** Gathers bytes that arrive in pieces. */
export interface ByteCollector {
  /** Bytes gathered since the last {@link ByteCollector.take}. */
  readonly length: number
  /** Pieces added since then. */
  readonly pieces: number
  add(piece: Buffer): void
  /** Removes and returns the bytes. */
  take(): Buffer
}

/** Size of the first block into which small pieces are copied; each further one is twice as large. */
const MIN_BLOCK_BYTES = 256
const MAX_BLOCK_BYTES = 64 * 1024
/** Size from which a piece may be kept as it is. */
const MIN_KEPT_BYTES = 4 * 1024
const EMPTY = Buffer.alloc(0)

/**
 * Creates an empty collector. Its memory stays below about twice its bytes, however
 * small the pieces are, and each byte is copied a constant number of times.
 */
export function createByteCollector(): ByteCollector {
  let blocks: Buffer[] = []
  let block = EMPTY
  let blockUsed = 0
  let blockBytes = MIN_BLOCK_BYTES
  let length = 0
  let pieces = 0
  let first: Buffer | undefined

  function closeBlock(): void {
    if (blockUsed > 0) blocks.push(block.subarray(0, blockUsed))
    block = EMPTY
    blockUsed = 0
  }

  function copy(piece: Buffer): void {
    let copied = 0
    while (copied < piece.length) {
      if (blockUsed === block.length) {
        closeBlock()
        block = Buffer.allocUnsafeSlow(blockBytes)
        blockBytes = Math.min(MAX_BLOCK_BYTES, 2 * blockBytes)
      }
      const count = piece.copy(block, blockUsed, copied)
      blockUsed += count
      copied += count
    }
  }

  function append(piece: Buffer): void {
    // A piece keeps the whole memory of its read alive.
    const isKept =
      piece.length >= MIN_KEPT_BYTES &&
      2 * piece.length >= piece.buffer.byteLength
    if (!isKept) {
      copy(piece)
      return
    }
    closeBlock()
    blocks.push(piece)
  }

  return {
    get length() {
      return length
    },
    get pieces() {
      return pieces
    },
    add(piece) {
      pieces += 1
      length += piece.length
      if (pieces === 1) {
        first = piece
        return
      }
      if (first) append(first)
      first = undefined
      append(piece)
    },
    take() {
      closeBlock()
      const bytes = first ?? Buffer.concat(blocks)
      blocks = []
      blockBytes = MIN_BLOCK_BYTES
      length = 0
      pieces = 0
      first = undefined
      return bytes
    },
  }
}
