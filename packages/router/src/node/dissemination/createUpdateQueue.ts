/** Directions in which updates are sent. */
export enum Direction {
  /** To the aggregator, to the other aggregators, or to the peers of a small fleet. */
  Up = 'up',
  /** To the members of this router. */
  Down = 'down',
}

/** Updates that wait for the next digests. */
export interface UpdateQueue<T> {
  /** Adds updates for some directions; the oldest are dropped if too many wait. */
  push(updates: readonly T[], directions: readonly Direction[]): void
  /** Removes the updates for the next digests in a direction and returns them. */
  take(direction: Direction): T[]
  /** Drops the updates of a direction in which nobody is. */
  clear(direction: Direction): void
}

/** Updates in one digest: cache locations of 27 bytes and streams of 9 must fit into a datagram of 64 KiB. */
const MAX_TAKEN = 1_500
/** Updates that wait for one direction. */
const MAX_WAITING = 6_000

/** Creates an empty queue. */
export function createUpdateQueue<T>(): UpdateQueue<T> {
  const waiting: Record<Direction, T[]> = {
    [Direction.Up]: [],
    [Direction.Down]: [],
  }
  return {
    push(updates, directions) {
      if (updates.length === 0) return
      for (const direction of directions)
        waiting[direction] = [...waiting[direction], ...updates].slice(
          -MAX_WAITING,
        )
    },
    take(direction) {
      const taken = waiting[direction].slice(0, MAX_TAKEN)
      waiting[direction] = waiting[direction].slice(MAX_TAKEN)
      return taken
    },
    clear(direction) {
      waiting[direction] = []
    },
  }
}
