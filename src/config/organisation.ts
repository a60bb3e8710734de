import { z } from 'zod'

/** The permissions of the holder of a key. */
export const Role = {
  /** May send requests. */
  caller: 'caller',
  /** May read state and configuration through the administration API. */
  viewer: 'viewer',
  /** May also change the configuration and drain hosts and backend servers. */
  operator: 'operator'
} as const

/** One of the values of {@link Role}. */
export type Role = typeof Role[keyof typeof Role]

const keyHashSchema = z.string().regex(/^[0-9a-f]{64}$/, 'expected a SHA-256 as 64 hex digits')

export const organisationSchema = z.strictObject({
  /** SHA-256 of each API key that the organisation's callers use. */
  key_hashes: z.array(keyHashSchema).min(1)
})

export const operatorSchema = z.strictObject({
  role: z.enum([Role.viewer, Role.operator]),
  key_hashes: z.array(keyHashSchema).min(1)
})

/** An organisation whose callers send requests. */
export interface Organisation {
  readonly name: string
  readonly keyHashes: readonly string[]
}

/** A person or tool that may use the administration API. */
export interface Operator {
  readonly name: string
  readonly role: Role
  readonly keyHashes: readonly string[]
}

/**
 * Converts an entry of the configuration document.
 *
 * @param name - the organisation's name
 * @param definition - its validated definition in the document
 * @returns the organisation
 */
export function toOrganisation (name: string, definition: z.output<typeof organisationSchema>): Organisation {
  return { name, keyHashes: definition.key_hashes }
}

/**
 * Converts an entry of the configuration document.
 *
 * @param name - the operator's name
 * @param definition - the validated definition in the document
 * @returns the operator
 */
export function toOperator (name: string, definition: z.output<typeof operatorSchema>): Operator {
  return { name, role: definition.role, keyHashes: definition.key_hashes }
}
