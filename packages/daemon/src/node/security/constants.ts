/** Milliseconds between checks of the certificate files for changes. */
export const DEFAULT_CERTIFICATE_POLL_MS = 30_000
/** Minimum length of a secret, in characters. */
export const MIN_SECRET_LENGTH = 16
