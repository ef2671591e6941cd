/** Tells model services, whose targets keep a prompt cache, from plain ones. */
export enum ServiceKind {
  Model = 'model',
  Plain = 'plain',
}
