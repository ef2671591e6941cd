import xxhash from 'xxhash-wasm'

const hasher = await xxhash()

/** Returns the xxHash32 of `text` as an unsigned 32-bit integer. */
export function hash32(text: string, seed = 0): number {
  return hasher.h32(text, seed)
}
