import { z } from 'zod'

/** What the holder of a key may do. */
export const Role = {
  /** Sends requests. */
  caller: 'caller',
  /** Reads state and configuration. */
  viewer: 'viewer',
  /** Reads and changes. */
  operator: 'operator'
} as const

/** One of the values of {@link Role}. */
export type Role = typeof Role[keyof typeof Role]

const hashed = z.string().regex(/^[0-9a-f]{64}$/, 'expected a SHA-256 as 64 hex digits')

export const organisationSchema = z.strictObject({
  /** SHA-256 of each key that the organisation's callers send. */
  key_hashes: z.array(hashed).min(1)
})

export const operatorSchema = z.strictObject({
  role: z.enum([Role.viewer, Role.operator]),
  key_hashes: z.array(hashed).min(1)
})

/** An organisation whose callers send requests. */
export interface Organisation {
  readonly name: string
  readonly keyHashes: readonly string[]
}

/** Someone who may use the administration API. */
export interface Operator {
  readonly name: string
  readonly role: Role
  readonly keyHashes: readonly string[]
}

/**
 * @param name - the organisation's name
 * @param stated - what the document states of it
 * @returns the organisation
 */
export function toOrganisation (name: string, stated: z.output<typeof organisationSchema>): Organisation {
  return { name, keyHashes: stated.key_hashes }
}

/**
 * @param name - the operator's name
 * @param stated - what the document states of them
 * @returns the operator
 */
export function toOperator (name: string, stated: z.output<typeof operatorSchema>): Operator {
  return { name, role: stated.role, keyHashes: stated.key_hashes }
}
