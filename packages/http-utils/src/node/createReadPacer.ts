/** Divides the processor between connections that bring many small pieces. */
export interface ReadPacer {
  /** Begins a rest of a connection after a read of `pieces`; returns how long it lasts, in milliseconds. */
  begin(pieces: number): number
  /** Ends a rest. */
  end(): void
}

/** Pieces that all connections at rest may bring in a millisecond: each takes about a microsecond. */
const PIECES_PER_MS = 200

/** Creates a pacer; it has one share for each connection at rest. */
export function createReadPacer(): ReadPacer {
  let resting = 0
  return {
    begin(pieces) {
      resting += 1
      return (pieces * resting) / PIECES_PER_MS
    },
    end() {
      resting -= 1
    },
  }
}

/** The pacer of the process, whose connections share one event loop. */
export const processPacer = createReadPacer()
