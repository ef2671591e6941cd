import type { WaitingRequest } from '../waitingRequest.js'

/** Keeps whole history and sorts everything at each step. */
export class NaiveQueue {
  private waiting: WaitingRequest[] = []
  private readonly virtual = new Map<string, number>()
  private floor = 0

  constructor(
    private readonly capacity: number,
    private readonly ageingMs: number,
  ) {}

  private has(customer: string): boolean {
    return this.waiting.some((request) => request.customer === customer)
  }

  private share(customer: string): number {
    return this.virtual.get(customer) ?? 0
  }

  private crowding(request: WaitingRequest): number {
    const own = this.waiting.filter((r) => r.customer === request.customer)
    return own.length / request.weight
  }

  private dropped(request: WaitingRequest): string {
    this.waiting = this.waiting.filter((other) => other !== request)
    const shares = this.waiting.map((r) => this.share(r.customer))
    if (shares.length > 0)
      this.floor = Math.max(this.floor, Math.min(...shares))
    return request.id
  }

  offer(request: WaitingRequest): string | undefined {
    const { customer } = request
    if (!this.has(customer))
      this.virtual.set(customer, Math.max(this.share(customer), this.floor))
    this.waiting.push(request)
    if (this.waiting.length <= this.capacity) return undefined
    const [victim] = [...this.waiting]
      .reverse()
      .sort(
        (a, b) =>
          b.rank - a.rank ||
          this.crowding(b) - this.crowding(a) ||
          b.enqueuedAtMs - a.enqueuedAtMs,
      )
    return victim && this.dropped(victim)
  }

  take(nowMs: number): string | undefined {
    const aged = (r: WaitingRequest) =>
      r.rank - Math.floor((nowMs - r.enqueuedAtMs) / this.ageingMs)
    const [next] = [...this.waiting].sort(
      (a, b) =>
        aged(a) - aged(b) ||
        this.share(a.customer) - this.share(b.customer) ||
        a.deadlineAtMs - b.deadlineAtMs,
    )
    if (!next) return undefined
    this.virtual.set(next.customer, this.share(next.customer) + 1 / next.weight)
    return this.dropped(next)
  }

  remove(id: string): void {
    const found = this.waiting.find((request) => request.id === id)
    if (found) this.dropped(found)
  }
}
