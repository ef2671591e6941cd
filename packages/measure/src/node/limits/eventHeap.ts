/** Something that happens at a time of a trace. */
export interface TimedEvent {
  readonly atMs: number
}

/** Hands events out in order of time. */
export class EventHeap<T extends TimedEvent> {
  private readonly items: T[] = []

  get size(): number {
    return this.items.length
  }

  push(item: T): void {
    const { items } = this
    items.push(item)
    let index = items.length - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (this.at(parent) <= item.atMs) break
      this.swap(index, parent)
      index = parent
    }
  }

  pop(): T | undefined {
    const { items } = this
    const [first] = items
    const last = items.pop()
    if (items.length === 0 || !last) return first
    items[0] = last
    let index = 0
    for (;;) {
      let least = index
      for (const child of [2 * index + 1, 2 * index + 2])
        if (this.at(child) < this.at(least)) least = child
      if (least === index) return first
      this.swap(index, least)
      index = least
    }
  }

  private at(index: number): number {
    return this.items[index]?.atMs ?? Infinity
  }

  private swap(a: number, b: number): void {
    const { items } = this
    const [first, second] = [items[a], items[b]]
    if (first && second) {
      items[a] = second
      items[b] = first
    }
  }
}
