/** Returns patch operations that add a service with one target, `SERVICE-1`. */
export function addService(
  service: string,
  address: string,
  kind: 'plain' | 'model' = 'plain',
) {
  return [
    { op: 'add', path: `/services/${service}`, value: { kind } },
    {
      op: 'add',
      path: `/targets/${service}-1`,
      value: { service, address, dataCentre: 'dc-1' },
    },
  ]
}
