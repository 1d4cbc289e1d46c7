/** The router's figures as text for a scraper: numbers as they are, tables of counts with a label. */

export function formatMetrics(f: Record<string, unknown>): string {
  const out: string[] = [];
  for (const [k, v] of Object.entries(f)) {
    const name = `tansypost_${k.replace(/[A-Z]/g, (c) => `_${c.toLowerCase()}`)}`;
    if (typeof v === 'number') out.push(`${name} ${v}`);
    else if (typeof v === 'boolean') out.push(`${name} ${v ? 1 : 0}`);
    else if (typeof v === 'object' && v !== null) {
      for (const [l, n] of Object.entries(v)) if (typeof n === 'number') out.push(`${name}{of="${l}"} ${n}`);
    }
  }
  return `${out.join('\n')}\n`;
}
