import xxhash from 'xxhash-wasm'

const hasher = await xxhash()

/** Hashes `text` with xxHash64 to 16 hexadecimal digits. */
export function hash64(text: string): string {
  return hasher.h64ToString(text)
}
