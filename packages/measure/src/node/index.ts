export * from './figure.js'
export type { MeasureGroup } from './measureGroup.js'
export { measureGroups } from './measureGroups.js'
