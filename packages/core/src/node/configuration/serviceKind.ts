/** Kind of a service; only targets of model services have a prompt cache. */
export enum ServiceKind {
  Model = 'model',
  Plain = 'plain',
}
