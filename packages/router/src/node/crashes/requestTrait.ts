/** Sets request fingerprints apart from the ids of prompt parts, which are hexadecimal. */
const PREFIX = 'request:'

/** Returns the trait that only the attempts of one request share. */
export function requestTrait(fingerprint: string): string {
  return PREFIX + fingerprint
}

/** Returns the fingerprint in a trait; undefined if the trait is a prompt part. */
export function fingerprintOfTrait(trait: string): string | undefined {
  return trait.startsWith(PREFIX) ? trait.slice(PREFIX.length) : undefined
}

/** Whether only the attempts of one request share a trait. */
export function isRequestTrait(trait: string): boolean {
  return fingerprintOfTrait(trait) !== undefined
}
