/** Format of log lines. */
export enum LogFormat {
  Human = 'human',
  Json = 'json',
}
