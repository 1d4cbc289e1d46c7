/** The router's metrics in the Prometheus text format. */

/** Formats numbers and booleans as single values, and tables of counts as one value for each label `of`. */
export function formatMetrics(values: Record<string, unknown>): string {
  const lines: string[] = [];
  for (const [key, value] of Object.entries(values)) {
    const name = `tansypost_${key.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`)}`;
    if (typeof value === 'number') lines.push(`${name} ${value}`);
    else if (typeof value === 'boolean') lines.push(`${name} ${value ? 1 : 0}`);
    else if (typeof value === 'object' && value !== null) {
      for (const [label, count] of Object.entries(value))
        if (typeof count === 'number') lines.push(`${name}{of="${label}"} ${count}`);
    }
  }
  return `${lines.join('\n')}\n`;
}
