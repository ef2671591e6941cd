import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { ConfigurationStore } from './createConfigurationStore.js'
import type { RouterConfiguration } from './routerConfiguration.js'

/** Activates a configuration if it is newer; `from` names where it came from. */
export type ActivateConfiguration = (
  configuration: RouterConfiguration,
  from: string,
) => void

/** Creates the activation of configurations; `onActivated` is called after each. */
export function createConfigurationActivator(
  configurationStore: ConfigurationStore,
  onActivated: () => void,
  log: DecisionLog,
): ActivateConfiguration {
  return (configuration, from) => {
    if (!configurationStore.applyIfNewer(configuration)) return
    onActivated()
    const { version, routes } = configuration
    log.write(LogEvent.ConfigurationActivated, {
      version,
      routes: routes.length,
      from,
    })
  }
}
