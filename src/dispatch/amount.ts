/**
 * @param value - a number of a message, which may be malformed
 * @returns whether it is finite and not negative
 */
export function isAmount (value: number): boolean {
  return Number.isFinite(value) && value >= 0
}
