/** A priority queue, implemented as a binary heap. */
export class Heap<Item> {
  private readonly items: Item[] = []

  /** @param isBefore - whether `a` is to be removed before `b` */
  constructor (private readonly isBefore: (a: Item, b: Item) => boolean) {}

  /** Number of items. */
  get size (): number {
    return this.items.length
  }

  /** @returns the first item, which stays in the heap, or undefined if the heap is empty */
  peek (): Item | undefined {
    return this.items[0]
  }

  /** @param item - the item to insert */
  push (item: Item): void {
    let index = this.items.push(item) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!this.isBefore(item, this.items[parent]!)) break
      this.items[index] = this.items[parent]!
      index = parent
    }
    this.items[index] = item
  }

  /** @returns the first item, removed from the heap, or undefined if the heap is empty */
  pop (): Item | undefined {
    const first = this.items[0]
    const last = this.items.pop()
    if (last !== undefined && this.items.length > 0) this.siftDown(last)
    return first
  }

  /** Inserts an item at the root and moves it down to its position. */
  private siftDown (item: Item): void {
    let index = 0
    for (;;) {
      let child = 2 * index + 1
      if (child >= this.items.length) break
      if (child + 1 < this.items.length && this.isBefore(this.items[child + 1]!, this.items[child]!)) child++
      if (!this.isBefore(this.items[child]!, item)) break
      this.items[index] = this.items[child]!
      index = child
    }
    this.items[index] = item
  }
}
