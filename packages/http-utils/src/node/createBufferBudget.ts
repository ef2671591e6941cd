/** Memory that one request uses of a budget. */
export interface BufferLease {
  /** Returns whether there is room for `bytes` more, which then count; never after the end. */
  tryGrow(bytes: number): boolean
  /** Returns all that the request uses. */
  end(): void
}

/** Limits the memory of all bodies together. */
export interface BufferBudget {
  readonly usedBytes: number
  lease(): BufferLease
}

/** Bytes of each request that do not count, so that ordinary ones always have room. */
const FREE_BYTES = 64 * 1024

/** Creates a budget of `maxBytes`. */
export function createBufferBudget(maxBytes: number): BufferBudget {
  let usedBytes = 0
  return {
    get usedBytes() {
      return usedBytes
    },
    lease() {
      let held = 0
      let ended = false
      const counted = (): number => Math.max(0, held - FREE_BYTES)
      return {
        tryGrow(bytes) {
          if (ended) return false
          const before = counted()
          held += bytes
          const growth = counted() - before
          if (usedBytes + growth > maxBytes) {
            held -= bytes
            return false
          }
          usedBytes += growth
          return true
        },
        end() {
          usedBytes -= counted()
          held = 0
          ended = true
        },
      }
    },
  }
}
