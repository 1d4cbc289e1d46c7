/**
 * Which requests take part in a rehearsal. A request's cohort depends on the hash of its id and of the rehearsal's name, so
 * every router assigns the same cohort. The treatment cohort takes the change; the control cohort, drawn at the same
 * time, is up to three times as large. All other requests are not counted.
 */
import { hash32 } from '@tansypost/inner-protocol';

/** The cohort of a request: treatment (`slice`), control, or neither. */
export type Cohort = 'slice' | 'control' | 'none';

const hashRange = 2 ** 32;
/** Size of the control cohort relative to the treatment cohort, where there are enough requests. */
const maxControlRatio = 3;

/**
 * The cohort of a request.
 * @param rehearsal name of the rehearsal's stage, see `cohortNameOf`
 * @param request id of the request
 * @param treatmentShare share of the requests that take the change, 0 to 1
 */
export function cohortOf(rehearsal: string, request: string, treatmentShare: number): Cohort {
  const position = hash32(`${rehearsal}\u0000${request}`) / hashRange;
  if (position < treatmentShare) return 'slice';
  return position >= 1 - Math.min(1 - treatmentShare, maxControlRatio * treatmentShare) ? 'control' : 'none';
}
