// What is wrong with a table of paths, beyond its shape: each fault in words, none when it may go in force.
import type { PathTable } from './path-table.js';

export function faultsOf(t: PathTable): string[] {
  const out: string[] = [];
  const services = new Set(t.services.map((s) => s.name));
  const seen = new Set<string>();
  if (!Number.isSafeInteger(t.revision) || t.revision < 1) out.push('The revision must be a whole number above 0.');
  if (services.size !== t.services.length) out.push('Two services have one name; name each once.');
  for (const p of t.paths) {
    const at = `${p.host.toLowerCase()} ${p.prefix}`;
    if (seen.has(at)) out.push(`Two paths have the host and prefix ${at}; keep one.`);
    seen.add(at);
    if (!p.prefix.startsWith('/') || !p.prefix.endsWith('/'))
      out.push(`The prefix of ${p.name} must begin and end with a slash.`);
    if (!(p.budget > 0)) out.push(`The budget of ${p.name} must be above 0.`);
    if (p.shares.some((s) => !(s.weight >= 0)) || !(p.shares.reduce((a, s) => a + s.weight, 0) > 0))
      out.push(`The weights of ${p.name} must add up to more than 0.`);
    for (const s of p.shares)
      if (!services.has(s.service)) out.push(`${p.name} names the service ${s.service}, which is not stated.`);
  }
  return out;
}
