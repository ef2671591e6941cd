import xxhash from 'xxhash-wasm'

const hasher = await xxhash()

/** Hashes `text` to an unsigned 32-bit integer with xxHash32. */
export function hash32(text: string, seed = 0): number {
  return hasher.h32(text, seed)
}
