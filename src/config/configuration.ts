import { err, ok, type Result } from 'neverthrow'
import { Failure } from '../base/index.js'
import type { Change, Section, Sections } from './change.js'

/** Says that a change can't be made to a configuration. */
export class ConfigurationFailure extends Failure<'unknown-item' | 'dangling'> {}

type Items = { readonly [S in Section]: ReadonlyMap<string, Sections[S]> }

const EMPTY: Items = {
  classes: new Map(),
  organisations: new Map(),
  operators: new Map(),
  servers: new Map(),
  services: new Map()
}

/**
 * What operators have stated: an immutable value that changes are applied to.
 * Each revision is one more than the one before.
 */
export class Configuration implements Items {
  /** The configuration before any change. */
  static readonly empty = new Configuration(0, EMPTY)

  readonly classes: Items['classes']
  readonly organisations: Items['organisations']
  readonly operators: Items['operators']
  readonly servers: Items['servers']
  readonly services: Items['services']
  private readonly owners: ReadonlyMap<string, string>

  /**
   * @param revision - how many submissions led here
   * @param items - the named items of each section
   */
  constructor (readonly revision: number, items: Items) {
    this.classes = items.classes
    this.organisations = items.organisations
    this.operators = items.operators
    this.servers = items.servers
    this.services = items.services
    this.owners = Configuration.keysOf(items)
  }

  private static keysOf (items: Items): Map<string, string> {
    const owners = new Map<string, string>()
    for (const organisation of items.organisations.values()) {
      for (const keyHash of organisation.keyHashes) owners.set(keyHash, organisation.name)
    }
    return owners
  }

  /**
   * Applies the steps of one submission, all or none.
   *
   * @param steps - the steps, in order
   * @returns the next revision, or why the steps can't be applied
   */
  apply (steps: readonly Change[]): Result<Configuration, ConfigurationFailure> {
    const next: Record<Section, Map<string, unknown>> = {
      classes: new Map(this.classes),
      organisations: new Map(this.organisations),
      operators: new Map(this.operators),
      servers: new Map(this.servers),
      services: new Map(this.services)
    }
    for (const step of steps) {
      if (step.step === 'put') {
        next[step.section].set(step.item.name, step.item)
      } else if (!next[step.section].delete(step.name)) {
        return err(failure('unknown-item', `${step.section}.${step.name}: there is none to remove`))
      }
    }
    const result = new Configuration(this.revision + 1, next as unknown as Items)
    return result.check().map(() => result)
  }

  /**
   * Finds the organisation that a key belongs to.
   *
   * @param keyHash - the SHA-256 of the key, as hex
   * @returns the organisation's name, or undefined if none has the key
   */
  organisationOf (keyHash: string): string | undefined {
    return this.owners.get(keyHash)
  }

  private check (): Result<void, ConfigurationFailure> {
    for (const server of this.servers.values()) {
      if (server.service !== undefined && !this.services.has(server.service)) {
        const message = `servers.${server.name}.service: "${server.service}" is no configured service`
        return err(failure('dangling', message))
      }
    }
    return ok(undefined)
  }
}

function failure (code: 'unknown-item' | 'dangling', message: string): ConfigurationFailure {
  return new ConfigurationFailure('ConfigurationFailure', { code }, message)
}
