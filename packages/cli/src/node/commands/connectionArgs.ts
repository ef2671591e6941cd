import { boolean, flag, option, string } from 'cmd-ts'

/** Administration URL, operator token and output format. */
export interface Connection {
  readonly admin: string
  readonly token: string
  readonly json: boolean
}

/** Flag for the output format. */
export const jsonFlag = flag({
  long: 'json',
  type: boolean,
  description: 'print the response as JSON',
})

/** Arguments that all commands share. */
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
    description:
      'operator token; prefer the variable, as other users can see arguments',
  }),
  json: jsonFlag,
}
