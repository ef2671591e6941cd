/** Events in the order of their virtual time; ties in order of insertion. */
export interface EventQueue {
  readonly nowMs: number
  at(timeMs: number, run: () => void): void
  /** Runs all events up to `endMs`. */
  runUntil(endMs: number): void
}

interface QueuedEvent {
  readonly timeMs: number
  readonly order: number
  readonly run: () => void
}

function isBefore(a: QueuedEvent, b: QueuedEvent): boolean {
  return a.timeMs < b.timeMs || (a.timeMs === b.timeMs && a.order < b.order)
}

/** Creates an empty queue at time zero, kept as a binary heap. */
export function createEventQueue(): EventQueue {
  const heap: QueuedEvent[] = []
  let nowMs = 0
  let order = 0

  function push(event: QueuedEvent): void {
    let child = heap.length
    heap.push(event)
    while (child > 0) {
      const parent = (child - 1) >> 1
      const above = heap[parent]
      if (!above || !isBefore(event, above)) break
      heap[child] = above
      child = parent
    }
    heap[child] = event
  }

  function sink(event: QueuedEvent): void {
    let parent = 0
    for (;;) {
      let child = 2 * parent + 1
      const left = heap[child]
      if (!left) break
      const right = heap[child + 1]
      const least = right && isBefore(right, left) ? right : left
      if (least === right) child += 1
      if (!isBefore(least, event)) break
      heap[parent] = least
      parent = child
    }
    heap[parent] = event
  }

  function pop(): QueuedEvent | undefined {
    const first = heap[0]
    const last = heap.pop()
    if (last && heap.length > 0) sink(last)
    return first
  }

  return {
    get nowMs() {
      return nowMs
    },
    at(timeMs, run) {
      order += 1
      push({ timeMs: Math.max(timeMs, nowMs), order, run })
    },
    runUntil(endMs) {
      for (;;) {
        const next = heap[0]
        if (!next || next.timeMs > endMs) break
        pop()
        nowMs = next.timeMs
        next.run()
      }
      nowMs = endMs
    },
  }
}
