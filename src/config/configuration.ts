import { err, ok, type Result } from 'neverthrow'
import { Failure } from '../base/index.js'
import type { ChangeStep, Section, Sections } from './change.js'

/**
 * A change that can't be applied to a configuration: it removes an item that does not exist (`unknown-item`),
 * or leaves a reference to one (`dangling`).
 */
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
 * An immutable snapshot of the configuration. Applying a change
 * gives a new snapshot, whose revision is higher by one.
 */
export class Configuration implements Items {
  /** The initial configuration: revision 0, without items. */
  static readonly empty = new Configuration(0, EMPTY)

  readonly classes: Items['classes']
  readonly organisations: Items['organisations']
  readonly operators: Items['operators']
  readonly servers: Items['servers']
  readonly services: Items['services']
  private readonly organisationByKeyHash: ReadonlyMap<string, string>

  /**
   * @param revision - number of changes applied since the empty configuration
   * @param items - the items of each section, by name
   */
  constructor (readonly revision: number, items: Items) {
    this.classes = items.classes
    this.organisations = items.organisations
    this.operators = items.operators
    this.servers = items.servers
    this.services = items.services
    this.organisationByKeyHash = Configuration.indexKeyHashes(items)
  }

  private static indexKeyHashes (items: Items): Map<string, string> {
    const organisations = new Map<string, string>()
    for (const organisation of items.organisations.values()) {
      for (const keyHash of organisation.keyHashes) organisations.set(keyHash, organisation.name)
    }
    return organisations
  }

  /**
   * Applies the steps of one change atomically and checks that all references resolve.
   *
   * @param steps - the steps, in the order in which they are applied
   * @returns the new configuration, or the first reason why the change can't be applied
   */
  apply (steps: readonly ChangeStep[]): Result<Configuration, ConfigurationFailure> {
    const sections: Record<Section, Map<string, unknown>> = {
      classes: new Map(this.classes),
      organisations: new Map(this.organisations),
      operators: new Map(this.operators),
      servers: new Map(this.servers),
      services: new Map(this.services)
    }
    for (const step of steps) {
      if (step.step === 'put') {
        sections[step.section].set(step.item.name, step.item)
      } else if (!sections[step.section].delete(step.name)) {
        return err(failure('unknown-item', `${step.section}.${step.name}: no such item to remove`))
      }
    }
    const next = new Configuration(this.revision + 1, sections as unknown as Items)
    return next.checkReferences().map(() => next)
  }

  /**
   * Finds the organisation that an API key belongs to.
   *
   * @param keyHash - SHA-256 of the key, in lower-case hex
   * @returns the organisation's name, or undefined if no organisation has the key
   */
  organisationOf (keyHash: string): string | undefined {
    return this.organisationByKeyHash.get(keyHash)
  }

  private checkReferences (): Result<void, ConfigurationFailure> {
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
