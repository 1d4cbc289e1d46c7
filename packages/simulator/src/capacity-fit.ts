/** The line through measured points by least squares, and the power that the figure grows with. */

export interface Point {
  readonly x: number;
  readonly y: number;
}
export interface Fit {
  readonly slope: number;
  readonly start: number;
  // The part of the variance that the line explains.
  readonly r2: number;
  // The slope between the logarithms: 1 grows with the size, 2 with its square. Undefined where a figure is not above 0.
  readonly power: number | undefined;
}

function line(ps: readonly Point[]): { slope: number; start: number; r2: number } {
  const n = ps.length;
  const mx = ps.reduce((a, p) => a + p.x, 0) / n;
  const my = ps.reduce((a, p) => a + p.y, 0) / n;
  const xx = ps.reduce((a, p) => a + (p.x - mx) ** 2, 0);
  const xy = ps.reduce((a, p) => a + (p.x - mx) * (p.y - my), 0);
  const yy = ps.reduce((a, p) => a + (p.y - my) ** 2, 0);
  const slope = xx === 0 ? 0 : xy / xx;
  const rest = ps.reduce((a, p) => a + (p.y - my - slope * (p.x - mx)) ** 2, 0);
  return { slope, start: my - slope * mx, r2: yy === 0 ? 1 : 1 - rest / yy };
}

export function fitLine(ps: readonly Point[]): Fit {
  const above = ps.filter((p) => p.x > 0 && p.y > 0);
  const power =
    above.length === ps.length ? line(above.map((p) => ({ x: Math.log(p.x), y: Math.log(p.y) }))).slope : undefined;
  return { ...line(ps), power };
}

// The size at which the line between the two measured points around it meets a limit; undefined where none does.
export function meets(ps: readonly Point[], limit: number): number | undefined {
  const sorted = [...ps].sort((a, b) => a.x - b.x);
  if (sorted[0] !== undefined && sorted[0].y > limit) return sorted[0].x;
  for (let i = 1; i < sorted.length; i += 1) {
    const [a, b] = [sorted[i - 1]!, sorted[i]!];
    if (a.y <= limit && b.y > limit) return a.x + ((limit - a.y) / (b.y - a.y)) * (b.x - a.x);
  }
  return undefined;
}
