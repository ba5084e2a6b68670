/** For whom a request is run. */
export enum RequestOrigin {
  /** A caller, who waits for the answer and may be refused. */
  Caller = 'caller',
  /** A batch: each of its samples is owed until it has a result or the batch ends. */
  Batch = 'batch'
}
