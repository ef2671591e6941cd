/** Milliseconds between two looks at the certificate files. */
export const DEFAULT_CERTIFICATE_POLL_MS = 30_000
/** Shortest secret taken, in characters. */
export const MIN_SECRET_LENGTH = 16
