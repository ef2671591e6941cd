import {
  LOAD_MARGIN_DEVIATIONS,
  LOAD_MARGIN_REQUESTS,
  RETURN_AT_FALL,
} from './constants.js'
import { createEndingRate } from './createEndingRate.js'

/** What one router holds of a group, by target. */
export interface Account {
  readonly incarnation: string
  readonly sequence: number
  /** Milliseconds at which it was true. */
  readonly atMs: number
  readonly used: number[]
  readonly credits: number[]
}

/** Accounts of all routers, with sums that cost no walk over the routers. */
export interface AccountBook {
  get(router: string): Account | undefined
  routers(): string[]
  /** Replaces an account; `finished` requests ended since the last one. */
  put(router: string, account: Account, finished: number): void
  use(router: string, index: number): void
  lend(router: string, index: number, credits: number): void
  remove(router: string, nowMs: number): void
  /** Places that all routers hold on a target, used or not. */
  held(index: number): number
  /** Credits that all routers hold. */
  readonly outstanding: number
  /**
   * Lower estimate of the requests in flight on the targets that count: as if
   * nothing had started since the routers' messages and more than the usual
   * number had ended, but for what routers would have told at once.
   */
  lowerLoad(counts: (index: number) => boolean, nowMs: number): number
}

/** Creates a book for `size` targets. */
export function createAccountBook(size: number): AccountBook {
  const accounts = new Map<string, Account>()
  const used = new Float64Array(size)
  const credits = new Float64Array(size)
  const remaining = new Float64Array(size)
  const ending = createEndingRate()
  let outstanding = 0
  let atMs: number | undefined

  function age(nowMs: number): void {
    const kept = Math.exp(-ending.perMs * (nowMs - (atMs ?? nowMs)))
    for (let index = 0; index < size; index += 1)
      remaining[index] = (remaining[index] ?? 0) * kept
    atMs = nowMs
  }

  function add(account: Account, sign: number, kept: number): void {
    for (let index = 0; index < size; index += 1) {
      const inFlight = sign * (account.used[index] ?? 0)
      const lent = sign * (account.credits[index] ?? 0)
      used[index] = (used[index] ?? 0) + inFlight
      remaining[index] = Math.max(0, (remaining[index] ?? 0) + inFlight * kept)
      credits[index] = (credits[index] ?? 0) + lent
      outstanding += lent
    }
  }

  function remove(router: string, nowMs: number): void {
    const account = accounts.get(router)
    if (!account) return
    age(nowMs)
    add(account, -1, Math.exp(-ending.perMs * (nowMs - account.atMs)))
    accounts.delete(router)
  }

  function learn(previous: Account, finished: number, nowMs: number): void {
    let inFlight = 0
    for (const count of previous.used) inFlight += count
    ending.note(finished, inFlight, nowMs - previous.atMs)
  }

  return {
    remove,
    routers: () => [...accounts.keys()],
    get: (router) => accounts.get(router),
    put(router, account, finished) {
      const previous = accounts.get(router)
      remove(router, account.atMs)
      age(account.atMs)
      if (previous?.incarnation === account.incarnation)
        learn(previous, finished, account.atMs)
      add(account, 1, 1)
      accounts.set(router, account)
    },
    use(router, index) {
      const account = accounts.get(router)
      if (!account) return
      account.used[index] = (account.used[index] ?? 0) + 1
      used[index] = (used[index] ?? 0) + 1
      remaining[index] = (remaining[index] ?? 0) + 1
    },
    lend(router, index, lent) {
      const account = accounts.get(router)
      if (!account) return
      account.credits[index] = (account.credits[index] ?? 0) + lent
      credits[index] = (credits[index] ?? 0) + lent
      outstanding += lent
    },
    held: (index) => (used[index] ?? 0) + (credits[index] ?? 0),
    get outstanding() {
      return outstanding
    },
    lowerLoad(counts, nowMs) {
      age(nowMs)
      let total = 0
      let ended = 0
      for (let index = 0; index < size; index += 1) {
        if (!counts(index)) continue
        total += used[index] ?? 0
        ended += Math.max(0, (used[index] ?? 0) - (remaining[index] ?? 0))
      }
      const usual = ended + LOAD_MARGIN_DEVIATIONS * Math.sqrt(ended)
      const atMost = accounts.size * (RETURN_AT_FALL - 1)
      return Math.max(0, total - Math.min(usual, atMost) - LOAD_MARGIN_REQUESTS)
    },
  }
}
