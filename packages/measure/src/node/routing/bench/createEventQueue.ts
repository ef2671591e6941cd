/** Runs events in order of virtual time; ties in order of insertion. */
export interface EventQueue {
  readonly nowMs: number
  /** Schedules an event; a time in the past means now. */
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

/** Creates an empty queue at time zero; it is a binary heap. */
export function createEventQueue(): EventQueue {
  const heap: QueuedEvent[] = []
  let nowMs = 0
  let order = 0

  function insert(event: QueuedEvent): void {
    let child = heap.length
    heap.push(event)
    while (child > 0) {
      const parent = (child - 1) >> 1
      const parentEvent = heap[parent]
      if (!parentEvent || !isBefore(event, parentEvent)) break
      heap[child] = parentEvent
      child = parent
    }
    heap[child] = event
  }

  function siftDown(event: QueuedEvent): void {
    let parent = 0
    for (;;) {
      let child = 2 * parent + 1
      const left = heap[child]
      if (!left) break
      const right = heap[child + 1]
      const smaller = right && isBefore(right, left) ? right : left
      if (smaller === right) child += 1
      if (!isBefore(smaller, event)) break
      heap[parent] = smaller
      parent = child
    }
    heap[parent] = event
  }

  function pop(): QueuedEvent | undefined {
    const first = heap[0]
    const last = heap.pop()
    if (last && heap.length > 0) siftDown(last)
    return first
  }

  return {
    get nowMs() {
      return nowMs
    },
    at(timeMs, run) {
      order += 1
      insert({ timeMs: Math.max(timeMs, nowMs), order, run })
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
