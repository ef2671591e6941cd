/** How log lines are written. */
export enum LogFormat {
  Human = 'human',
  Json = 'json',
}
