import { errAsync, okAsync, ResultAsync } from 'neverthrow'
import { PlatformFailure } from './failure.js'
import type { HostList, ListedHost } from './hostlist.js'
import type { Objects } from './objectstore.js'
import { type Address, Condition, type Row, type Table } from './table.js'

/** Faults that the in-process platform can be told to show. */
export interface Weather {
  /** Every call fails, and no write takes effect. */
  down: boolean
  /** Writes take effect, but their answers are lost. */
  losesAnswers: boolean
}

function outage (what: string): PlatformFailure {
  return new PlatformFailure({ code: 'outage' }, `${what}: no answer`)
}

/** An in-process table for tests. */
export class MemoryTable implements Table {
  private readonly rows = new Map<string, Row>()
  /** The faults in force; settable at any time. */
  readonly weather: Weather = { down: false, losesAnswers: false }
  /** Writes that took effect. */
  writes = 0
  /** Reads answered. */
  reads = 0

  get (address: Address): ResultAsync<Row | undefined, PlatformFailure> {
    if (this.weather.down) return errAsync(outage('get'))
    this.reads++
    return okAsync(this.rows.get(nameOf(address)))
  }

  put (row: Row, when: Condition): ResultAsync<void, PlatformFailure> {
    if (this.weather.down) return errAsync(outage('put'))
    const name = nameOf(row)
    if (!holds(this.rows.get(name), row, when)) {
      return errAsync(new PlatformFailure({ code: 'conflict' }, `put ${name}: condition "${when}" does not hold`))
    }
    this.rows.set(name, row)
    this.writes++
    return this.weather.losesAnswers ? errAsync(outage('put')) : okAsync(undefined)
  }

  range (partition: string, after: string, limit: number): ResultAsync<Row[], PlatformFailure> {
    if (this.weather.down) return errAsync(outage('range'))
    this.reads++
    const found = [...this.rows.values()].filter(row => row.partition === partition && row.sort > after)
    return okAsync(found.sort((a, b) => a.sort < b.sort ? -1 : 1).slice(0, limit))
  }
}

function nameOf (address: Address): string {
  return `${address.partition}/${address.sort}`
}

function holds (before: Row | undefined, row: Row, when: Condition): boolean {
  return when === Condition.absent ? before === undefined : before?.version === row.version - 1
}

/** An in-process object store for tests. */
export class MemoryObjects implements Objects {
  private readonly texts = new Map<string, string>()
  /** The faults in force; settable at any time. */
  readonly weather: Weather = { down: false, losesAnswers: false }

  get (name: string): ResultAsync<string | undefined, PlatformFailure> {
    return this.weather.down ? errAsync(outage('get')) : okAsync(this.texts.get(name))
  }

  put (name: string, text: string): ResultAsync<void, PlatformFailure> {
    if (this.weather.down) return errAsync(outage('put'))
    this.texts.set(name, text)
    return this.weather.losesAnswers ? errAsync(outage('put')) : okAsync(undefined)
  }
}

/** An in-process host list for tests. */
export class MemoryHostList implements HostList {
  /** The hosts that the list shows; settable at any time. */
  hosts: ListedHost[] = []

  list (): ResultAsync<ListedHost[], PlatformFailure> {
    return okAsync(this.hosts)
  }
}
