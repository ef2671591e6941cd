import { boolean, flag, option, string } from 'cmd-ts'

/** The router to ask, the operator who asks and the form of the answer. */
export interface Connection {
  readonly admin: string
  readonly token: string
  readonly json: boolean
}

/** Options that every command takes. */
export const connectionArgs = {
  admin: option({
    long: 'admin',
    env: 'AUBURNBAY_ADMIN',
    type: string,
    description: 'URL of a router’s administration listener',
  }),
  token: option({
    long: 'token',
    env: 'AUBURNBAY_TOKEN',
    type: string,
    description: 'operator token; prefer the variable, as others see arguments',
  }),
  json: flag({
    long: 'json',
    type: boolean,
    description: 'print the answer as JSON',
  }),
}
