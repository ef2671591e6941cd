import type { WaitingRequest } from '../waitingRequest.js'

interface Served {
  readonly customer: string
  readonly atMs: number
}

/** Reference queue that keeps the whole history and sorts at each step. */
export class NaiveQueue {
  private waiting: WaitingRequest[] = []
  private readonly served: Served[] = []

  constructor(
    private readonly capacity: number,
    private readonly ageingMs: number,
    private readonly halfLifeMs: number,
  ) {}

  private service(customer: string, nowMs: number): number {
    let total = 0
    for (const past of this.served)
      if (past.customer === customer)
        total += 0.5 ** ((nowMs - past.atMs) / this.halfLifeMs)
    return total
  }

  private share(request: WaitingRequest, nowMs: number): number {
    return this.service(request.customer, nowMs) / request.weight
  }

  private shareWithWaiting(request: WaitingRequest, nowMs: number): number {
    const own = this.waiting.filter((r) => r.customer === request.customer)
    const service = this.service(request.customer, nowMs)
    return (service + own.length) / request.weight
  }

  enqueue(request: WaitingRequest): string | undefined {
    this.waiting.push(request)
    if (this.waiting.length <= this.capacity) return undefined
    const nowMs = request.enqueuedAtMs
    const [victim] = [...this.waiting]
      .reverse()
      .sort(
        (a, b) =>
          b.rank - a.rank ||
          this.shareWithWaiting(b, nowMs) - this.shareWithWaiting(a, nowMs) ||
          b.enqueuedAtMs - a.enqueuedAtMs,
      )
    if (victim) this.remove(victim.id)
    return victim?.id
  }

  dequeue(nowMs: number): string | undefined {
    const aged = (r: WaitingRequest) =>
      r.rank - Math.floor((nowMs - r.enqueuedAtMs) / this.ageingMs)
    const [next] = [...this.waiting].sort(
      (a, b) =>
        aged(a) - aged(b) ||
        this.share(a, nowMs) - this.share(b, nowMs) ||
        a.deadlineAtMs - b.deadlineAtMs,
    )
    if (!next) return undefined
    this.served.push({ customer: next.customer, atMs: nowMs })
    this.remove(next.id)
    return next.id
  }

  remove(id: string): void {
    this.waiting = this.waiting.filter((request) => request.id !== id)
  }
}
