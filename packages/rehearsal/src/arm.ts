// Which requests a rehearsal takes. The hash of the request's id and the rehearsal's decides, so every
// router draws the same lot; the control arm is up to three times the slice, drawn beside it at the
// same time, and everything else is not counted.
import { hash32 } from '@tansypost/inner-protocol';

export type Arm = 'slice' | 'control' | 'none';

export function armOf(rehearsal: string, request: string, slice: number): Arm {
  const u = hash32(`${rehearsal}\u0000${request}`) / 4294967296;
  if (u < slice) return 'slice';
  return u >= 1 - Math.min(1 - slice, 3 * slice) ? 'control' : 'none';
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  it('draws two separate arms, the control thrice the slice', () => {
    const n = { slice: 0, control: 0, none: 0 };
    for (let i = 0; i < 20000; i += 1) n[armOf('r', `q${i}`, 0.1)] += 1;
    expect(Math.abs(n.slice - 2000)).toBeLessThan(200);
    expect(Math.abs(n.control - 6000)).toBeLessThan(300);
  });
}
