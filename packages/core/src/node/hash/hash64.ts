import xxhash from 'xxhash-wasm'

const hasher = await xxhash()

/** Returns the xxHash64 of `text` as 16 hexadecimal digits. */
export function hash64(text: string): string {
  return hasher.h64ToString(text)
}
