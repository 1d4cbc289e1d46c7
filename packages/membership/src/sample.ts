/** Random sampling without replacement. */

/** Up to `count` of the items in random order (Fisher-Yates shuffle of a copy). */
export function sample<T>(items: readonly T[], count: number, random: () => number): T[] {
  const shuffled = [...items];
  for (let i = shuffled.length - 1; i > 0; i -= 1) {
    const j = Math.floor(random() * (i + 1));
    [shuffled[i], shuffled[j]] = [shuffled[j]!, shuffled[i]!];
  }
  return shuffled.slice(0, count);
}
