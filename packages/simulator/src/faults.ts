/**
 * Fault schedules drawn from a seed, in virtual seconds. Every fault is healed before the calm at the end of a
 * run, so that what must never happen and what must come back can both be judged. A schedule can be shrunk
 * to the faults that a breach needs.
 */
import type { Deployment } from '@tansypost/requester-stand-in';

export type SimFault =
  | {
      readonly at: number;
      readonly do: 'kill' | 'freeze' | 'drain' | 'empty';
      readonly who: string;
      readonly for: number;
    }
  | { readonly at: number; readonly do: 'isolate' | 'one-way' | 'split'; readonly who: string; readonly for: number }
  | {
      readonly at: number;
      readonly do: 'disk-stall' | 'disk-slow' | 'disk-full';
      readonly who: string;
      readonly for: number;
    }
  | {
      readonly at: number;
      readonly do: 'worker-kill' | 'worker-dark' | 'worker-freeze' | 'worker-release' | 'worker-slow-link' | 'lapse';
      readonly who: string;
      readonly for: number;
    }
  | {
      readonly at: number;
      readonly do: 'replace-core' | 'mass-kill' | 'core-kill' | 'seeds-swapped' | 'clock-jump';
      readonly who: string;
      readonly for: number;
    }
  | {
      readonly at: number;
      readonly do:
        | 'machine-kill'
        | 'machine-lost'
        | 'machine-freeze'
        | 'seed-replaced'
        | 'link-one-way'
        | 'core-split'
        | 'disk-damage'
        | 'lose-on-ack';
      readonly who: string;
      readonly for: number;
    }
  | {
      readonly at: number;
      readonly do: 'submit-and-die' | 'crash-on-ack' | 'submit' | 'race' | 'storm' | 'refused' | 'crowd' | 'swing';
      readonly who: string;
      readonly for: number;
    };
export type SimFaultKind = SimFault['do'];

const weights: readonly (readonly [SimFaultKind, number])[] = [
  ['kill', 4],
  ['freeze', 4],
  ['drain', 2],
  ['empty', 2],
  ['isolate', 3],
  ['one-way', 2],
  ['split', 2],
  ['disk-stall', 2],
  ['disk-slow', 1],
  ['disk-full', 1],
  ['worker-kill', 3],
  ['worker-dark', 2],
  ['worker-freeze', 2],
  ['worker-release', 4],
  ['worker-slow-link', 2],
  ['lapse', 3],
  ['replace-core', 1],
  ['mass-kill', 1],
  ['core-kill', 1],
  ['seeds-swapped', 1],
  ['clock-jump', 1],
  ['submit', 4],
  ['crash-on-ack', 2],
  ['race', 4],
  ['storm', 2],
  ['refused', 1],
  ['crowd', 2],
  ['swing', 1],
  ['machine-kill', 2],
  ['machine-lost', 1],
  ['machine-freeze', 2],
  ['seed-replaced', 2],
  ['link-one-way', 1],
  ['core-split', 2],
  ['disk-damage', 1],
  ['lose-on-ack', 1],
];

// With `only`, draws a dozen faults of these kinds instead of a few of all.
export function drawFaults(d: Deployment, r: () => number, span: number, only?: readonly string[]): SimFault[] {
  const n = only === undefined ? 3 + Math.floor(r() * 7) : 12;
  const some = only === undefined ? weights : weights.filter(([k]) => only.includes(k));
  const all = some.reduce((a, [, w]) => a + w, 0);
  const out: SimFault[] = [];
  let diskGone = false;
  for (let i = 0; i < n; i += 1) {
    let u = r() * all;
    const kind = some.find(([, w]) => (u -= w) < 0)![0];
    const at = 2 + r() * (span - 8);
    const long = Math.min(0.5 + r() * 7, span - at);
    let who = '';
    if (kind.startsWith('worker-') || kind === 'lapse') who = `worker${Math.floor(r() * d.workers)}`;
    else if (kind.startsWith('disk-') && kind !== 'disk-damage') who = `keeper${Math.floor(r() * 3)}`;
    else if (['empty', 'replace-core', 'disk-damage', 'lose-on-ack'].includes(kind)) {
      // One disk at a time: losing two of three is losing the majority, which no store survives.
      if (diskGone) continue;
      diskGone = true;
      who = `keeper${Math.floor(r() * 3)}`;
    } else if (kind.startsWith('machine-')) {
      who = `m${Math.floor(r() * d.machines)}`;
      if (kind === 'machine-lost' && Number(who.slice(1)) < 3) {
        if (diskGone) continue;
        diskGone = true;
      }
    } else if (kind === 'seed-replaced') who = `agent${Math.floor(r() * 3)}`;
    else if (kind === 'core-split') who = `m${Math.floor(r() * 3)}`;
    else if (kind === 'link-one-way') {
      const a = Math.floor(r() * 3);
      who = `m${a}>m${(a + 1 + Math.floor(r() * 2)) % 3}`;
    } else if (['isolate', 'one-way'].includes(kind))
      who = r() < 0.3 ? `w${Math.floor(r() * d.workers)}` : `m${Math.floor(r() * d.machines)}`;
    else if (['kill', 'freeze', 'drain'].includes(kind)) {
      const k = r();
      who =
        k < 0.25
          ? `keeper${Math.floor(r() * 3)}`
          : k < 0.6
            ? `agent${Math.floor(r() * d.machines)}`
            : `router${Math.floor(r() * d.machines)}`;
    }
    out.push({ at, do: kind, who, for: long } as SimFault);
  }
  return out.sort((a, b) => a.at - b.at);
}

// Leaves out one fault after the other for as long as the breach stays.
export async function shrink(
  fs: readonly SimFault[],
  still: (fs: readonly SimFault[]) => Promise<boolean>,
): Promise<readonly SimFault[]> {
  let now = fs;
  for (let i = now.length - 1; i >= 0; i -= 1) {
    const less = now.filter((_, k) => k !== i);
    if (await still(less)) now = less;
  }
  return now;
}
