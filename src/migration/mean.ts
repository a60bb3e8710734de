/**
 * @param values - at least one number
 * @returns their mean
 */
export function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}
