export { createCorribConfiguration } from './corribConfiguration.js'
