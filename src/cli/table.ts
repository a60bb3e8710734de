/**
 * Lays out rows for people to read.
 *
 * @param headings - the columns' names
 * @param rows - one list of cells a row
 * @returns the lines, columns aligned
 */
export function layOut (headings: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
  const all = [headings, ...rows]
  const widths = headings.map((_, column) => Math.max(...all.map(row => (row[column] ?? '').length)))
  return all.map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd()).join('\n')
}
