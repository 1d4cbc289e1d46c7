/**
 * Which requests a rehearsal takes. The hash of the request's id and the rehearsal's decides, so every router assigns
 * the same cohort; the control is up to three times the slice, drawn beside it at the same time, and everything else
 * is not counted.
 */
import { hash32 } from '@tansypost/inner-protocol';

/** The cohort of a request: treatment (slice), control, or neither. */
export type Cohort = 'slice' | 'control' | 'none';

const hashRange = 2 ** 32;
const controlPerSlice = 3;

/**
 * The cohort of a request.
 * @param rehearsal name of the rehearsal's stage, see `armsOf`
 * @param request id of the request
 * @param slice share of the requests that take the change, 0 to 1
 */
export function cohortOf(rehearsal: string, request: string, slice: number): Cohort {
  const position = hash32(`${rehearsal}\u0000${request}`) / hashRange;
  if (position < slice) return 'slice';
  return position >= 1 - Math.min(1 - slice, controlPerSlice * slice) ? 'control' : 'none';
}

if (import.meta.vitest) {
  const { it, expect } = import.meta.vitest;
  it('draws two separate arms, the control thrice the slice', () => {
    const counts = { slice: 0, control: 0, none: 0 };
    for (let i = 0; i < 20000; i += 1) counts[cohortOf('r', `q${i}`, 0.1)] += 1;
    expect(Math.abs(counts.slice - 2000)).toBeLessThan(200);
    expect(Math.abs(counts.control - 6000)).toBeLessThan(300);
  });
}
