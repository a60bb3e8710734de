/** A priority queue: the least item comes out first. */
export class Heap<Item> {
  private readonly items: Item[] = []

  /** @param before - whether the first item comes out before the second */
  constructor (private readonly before: (a: Item, b: Item) => boolean) {}

  /** How many items wait. */
  get size (): number {
    return this.items.length
  }

  /** @returns the item that would come out next, or undefined */
  peek (): Item | undefined {
    return this.items[0]
  }

  /** @param item - put in */
  push (item: Item): void {
    let at = this.items.push(item) - 1
    while (at > 0) {
      const parent = (at - 1) >> 1
      if (!this.before(item, this.items[parent]!)) break
      this.items[at] = this.items[parent]!
      at = parent
    }
    this.items[at] = item
  }

  /** @returns the least item, taken out, or undefined */
  pop (): Item | undefined {
    const least = this.items[0]
    const last = this.items.pop()
    if (last !== undefined && this.items.length > 0) this.sink(last)
    return least
  }

  private sink (item: Item): void {
    let at = 0
    for (;;) {
      let child = 2 * at + 1
      if (child >= this.items.length) break
      if (child + 1 < this.items.length && this.before(this.items[child + 1]!, this.items[child]!)) child++
      if (!this.before(this.items[child]!, item)) break
      this.items[at] = this.items[child]!
      at = child
    }
    this.items[at] = item
  }
}
