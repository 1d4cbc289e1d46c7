// This router's part of the fleet's budget for sends beyond the first of each request, one for each service: a share
// of its own requests of the last window, and an even part of what the fleet may always spend. Both are kept below
// what is allowed, as windows of others slide differently and the count of routers is known late.

export interface SendBudget {
  readonly first: (service: string) => void;
  readonly room: (service: string) => boolean;
  readonly extra: (service: string) => void;
  readonly totals: () => { first: number; extra: number };
}
export interface SendBudgetTerms {
  readonly share: number;
  readonly always: number;
  readonly window: number;
  readonly routers: () => number;
}
const slots = 20;
const caution = 0.7;

export function createSendBudget(now: () => number, t: SendBudgetTerms): SendBudget {
  const services = new Map<string, { at: number; first: number; extra: number }[]>();
  let [first, extra] = [0, 0];

  function here(s: string): { at: number; first: number; extra: number }[] {
    const at = Math.floor((now() * slots) / t.window);
    let xs = services.get(s);
    if (xs === undefined) services.set(s, (xs = []));
    while (xs.length > 0 && xs[0]!.at <= at - slots - 1) xs.shift();
    if (xs.at(-1)?.at !== at) xs.push({ at, first: 0, extra: 0 });
    return xs;
  }
  function room(s: string): boolean {
    const xs = here(s);
    const f = xs.reduce((a, x) => a + x.first, 0);
    const e = xs.reduce((a, x) => a + x.extra, 0);
    return e + 1 <= caution * (t.share * f + Math.max(1, Math.floor(t.always / Math.max(1, t.routers()))));
  }
  return {
    first: (s) => {
      first += 1;
      here(s).at(-1)!.first += 1;
    },
    room,
    extra: (s) => {
      extra += 1;
      here(s).at(-1)!.extra += 1;
    },
    totals: () => ({ first, extra }),
  };
}
