import { errAsync, okAsync, ResultAsync } from 'neverthrow'
import { PlatformFailure } from './failure.js'
import type { HostList, ListedHost } from './hostlist.js'
import type { ObjectStore } from './objectstore.js'
import { type Row, type RowKey, type Table, WriteCondition } from './table.js'

/** Faults that tests inject into an in-process service. */
export interface InjectedFaults {
  /** Every call fails, and no write takes effect. */
  isDown: boolean
  /** Writes take effect, but their responses are lost. */
  losesResponses: boolean
}

function outageFailure (operation: string): PlatformFailure {
  return new PlatformFailure({ code: 'outage' }, `${operation}: no response`)
}

/** An in-process table for tests. */
export class MemoryTable implements Table {
  private readonly rows = new Map<string, Row>()
  /** The faults of calls from now on; settable at any time. */
  readonly faults: InjectedFaults = { isDown: false, losesResponses: false }
  /** Number of writes that took effect. */
  writes = 0
  /** Number of reads that were answered. */
  reads = 0

  get (key: RowKey): ResultAsync<Row | undefined, PlatformFailure> {
    if (this.faults.isDown) return errAsync(outageFailure('get'))
    this.reads++
    return okAsync(this.rows.get(formatKey(key)))
  }

  put (row: Row, condition: WriteCondition): ResultAsync<void, PlatformFailure> {
    if (this.faults.isDown) return errAsync(outageFailure('put'))
    const key = formatKey(row)
    if (!isConditionMet(this.rows.get(key), row, condition)) {
      return errAsync(new PlatformFailure({ code: 'conflict' }, `put ${key}: condition "${condition}" does not hold`))
    }
    this.rows.set(key, row)
    this.writes++
    return this.faults.losesResponses ? errAsync(outageFailure('put')) : okAsync(undefined)
  }

  query (partition: string, after: string, limit: number): ResultAsync<Row[], PlatformFailure> {
    if (this.faults.isDown) return errAsync(outageFailure('query'))
    this.reads++
    const matches = [...this.rows.values()].filter(row => row.partition === partition && row.sortKey > after)
    return okAsync(matches.sort((a, b) => a.sortKey < b.sortKey ? -1 : 1).slice(0, limit))
  }
}

function formatKey (key: RowKey): string {
  return `${key.partition}/${key.sortKey}`
}

function isConditionMet (current: Row | undefined, row: Row, condition: WriteCondition): boolean {
  return condition === WriteCondition.absent ? current === undefined : current?.version === row.version - 1
}

/** An in-process object store for tests. */
export class MemoryObjectStore implements ObjectStore {
  private readonly objects = new Map<string, string>()
  /** The faults of calls from now on; settable at any time. */
  readonly faults: InjectedFaults = { isDown: false, losesResponses: false }

  get (name: string): ResultAsync<string | undefined, PlatformFailure> {
    return this.faults.isDown ? errAsync(outageFailure('get')) : okAsync(this.objects.get(name))
  }

  put (name: string, text: string): ResultAsync<void, PlatformFailure> {
    if (this.faults.isDown) return errAsync(outageFailure('put'))
    this.objects.set(name, text)
    return this.faults.losesResponses ? errAsync(outageFailure('put')) : okAsync(undefined)
  }
}

/** An in-process host list for tests. */
export class MemoryHostList implements HostList {
  /** The hosts that the list returns; settable at any time. */
  hosts: ListedHost[] = []

  list (): ResultAsync<ListedHost[], PlatformFailure> {
    return okAsync(this.hosts)
  }
}
