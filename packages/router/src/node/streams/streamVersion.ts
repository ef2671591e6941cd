import { hash32 } from '@auburnbay/core/hash/hash32'

/** The key of a stream and the software version of the target that began it. */
export type StreamVersion = readonly [key: number, softwareVersion: string]

/** Streams by the software version that began them, as digests carry them: a version, then keys. */
export type StreamsOfVersion = readonly [string, ...number[]]

const HIGH_SEED = 1
const LOW_SEED = 2
/** Bits of the second hash that fit beside the first one into a safe integer. */
const LOW_BITS = 20

/** Returns the key of a stream: 52 bits of the id of the attempt that began it. */
export function streamKeyOf(attemptId: string): number {
  const low = hash32(attemptId, LOW_SEED) >>> (32 - LOW_BITS)
  return hash32(attemptId, HIGH_SEED) * 2 ** LOW_BITS + low
}

/** Groups streams by version. */
export function encodeStreamVersions(
  streams: readonly StreamVersion[],
): StreamsOfVersion[] {
  const groups = new Map<string, [string, ...number[]]>()
  for (const [key, version] of streams) {
    const group = groups.get(version)
    if (group) group.push(key)
    else groups.set(version, [version, key])
  }
  return [...groups.values()]
}

/** Returns the streams of all groups. */
export function decodeStreamVersions(
  groups: readonly StreamsOfVersion[],
): StreamVersion[] {
  return groups.flatMap(([version, ...keys]) =>
    keys.map((key): StreamVersion => [key, version]),
  )
}

/** Whether a decoded value is a group of streams. */
export function isStreamsOfVersion(value: unknown): value is StreamsOfVersion {
  if (!Array.isArray(value)) return false
  const [version, ...keys] = value as unknown[]
  return (
    typeof version === 'string' && keys.every((key) => typeof key === 'number')
  )
}
