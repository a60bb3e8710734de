import { createLogger } from 'bunyan'

/** A log that keeps its records, of every level from debug on. */
export class RecordedLog {
  readonly records: Array<Record<string, unknown>> = []
  readonly logger = createLogger({
    name: 'test',
    streams: [{
      type: 'raw',
      level: 'debug',
      stream: { write: (record: Record<string, unknown>) => this.records.push(record) } as never
    }]
  })

  /** @returns the records of an event, in order */
  find (event: string): ReadonlyArray<Record<string, unknown>> {
    return this.records.filter(record => record['event'] === event)
  }
}
