/**
 * Formats rows as a plain-text table.
 *
 * @param headings - the column headings
 * @param rows - the cells of each row
 * @returns one line per row, with the columns aligned
 */
export function formatTable (headings: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
  const lines = [headings, ...rows]
  const widths = headings.map((_, column) => Math.max(...lines.map(row => (row[column] ?? '').length)))
  return lines.map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd()).join('\n')
}
