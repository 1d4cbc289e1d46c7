/**
 * What one router spends by itself as the fleet grows: the memory of the radix tree, the scoring of all candidates in one
 * batch, the assignment of a pair, and, for every process, what a message costs in sockets, on the loopback.
 */
import { createCarrier, seeded, type Address, type Message, type WorkerId } from '@tansypost/inner-protocol';
import { assignPair, createWorkerFleet, pairDefaults, promptBlocks, type Incoming } from '@tansypost/pass-through';
import { createPredictor, createRadixTree, placementDefaults, scoreAll, width, type Model } from '@tansypost/placement';
import { listOf } from './capacity-followers.js';
import { heapNow } from './capacity-memory.js';

export interface TreeFigures {
  readonly blocks: number;
  readonly heap: number;
  readonly insertUs: number;
  // The longest of all inserts, as one of them prunes.
  readonly insertMostMs: number;
  readonly hitsUs: number;
  readonly forgetMs: number;
}
export interface ChoiceFigures {
  readonly workers: number;
  readonly scoreMs: number;
  readonly scoreMostMs: number;
  // The part of scoring calls that took longer than the placement allows.
  readonly scoreLate: number;
  readonly viewsUs: number;
  readonly pairUs: number;
}

function ms(f: () => void): number {
  const t = process.hrtime.bigint();
  f();
  return Number(process.hrtime.bigint() - t) / 1e6;
}

// Prompts of 750 blocks of sixteen tokens, 336 of them shared by a tenant's, or of three parts each.
export function measureTree(limit: number, seed: number, parts: boolean): TreeFigures {
  const random = seeded(seed);
  const before = heapNow();
  const tree = createRadixTree(limit);
  const [shared, own] = parts ? [2, 1] : [336, 414];
  let n = 0;
  function prompt(): number[] {
    const tenant = Math.floor(random() * 200);
    n += 1;
    const head = Array.from({ length: shared }, (_, i) => tenant * 1000 + i + 1);
    return [...head, ...Array.from({ length: own }, (_, i) => 1_000_000 + n * 1000 + i)];
  }
  let most = 0;
  let spent = 0;
  const inserts = Math.ceil((1.3 * limit) / own);
  for (let i = 0; i < inserts; i += 1) {
    const p = prompt();
    const took = ms(() => tree.insert(p, `i-${Math.floor(random() * 279)}`, i));
    spent += took;
    most = Math.max(most, took);
  }
  const heap = heapNow() - before;
  const looks = 2000;
  const hits = ms(() => {
    for (let i = 0; i < looks; i += 1) tree.hits(prompt());
  });
  return {
    blocks: tree.size(),
    heap,
    insertUs: (1000 * spent) / inserts,
    insertMostMs: most,
    hitsUs: (1000 * hits) / looks,
    forgetMs: ms(() => tree.forget('i-7')),
  };
}

export function measureChoice(workers: number, seed: number): ChoiceFigures {
  const random = seeded(seed);
  const predictor = createPredictor(width, seed);
  const flat = { mean: new Float32Array(width), low: new Float32Array(width), yMean: 0, ySd: 1 };
  const model: Model = {
    version: { epoch: 1, n: 1 },
    samples: 5000,
    predictor,
    scaling: { ...flat, sd: new Float32Array(width).fill(1), high: new Float32Array(width).fill(1e9) },
  };
  const rows = Array.from({ length: workers }, () => Float32Array.from({ length: width }, random));
  for (let i = 0; i < 20; i += 1) scoreAll(model, rows);
  const took = Array.from({ length: 200 }, () => ms(() => void scoreAll(model, rows)));

  // All workers serve one model: the worst case.
  let now = 1_000_000;
  const fleet = createWorkerFleet(() => now);
  fleet.list(listOf(workers).map((x) => ({ ...x, service: 'model-0' })));
  for (const x of listOf(workers))
    fleet.told(x.id, { queued: 0, active: Math.floor(random() * 20), kvUsed: random(), silent: false, at: now });
  const q: Incoming = {
    id: 'r',
    method: 'POST',
    target: '/',
    host: 'h',
    head: [],
    body: Buffer.alloc(0),
    promptTokens: 12_000,
    answerTokens: 480,
    parts: [
      { id: 'a', tokens: 5000 },
      { id: 'b', tokens: 382 },
      { id: 'c', tokens: 6618 },
    ],
    patience: 8_000_000,
    lastEvent: undefined,
  };
  const terms = {
    ...pairDefaults,
    zone: 'zone-0',
    regionOf: (z: string) => z.slice(0, 5),
    aim: 440_000,
    tokenBytes: 18_432,
    linkMbps: 740_000,
    placement: placementDefaults,
  };
  const tree = createRadixTree();
  for (let i = 0; i < 30; i += 1) tree.insert(promptBlocks(q), listOf(workers)[i % workers]!.id as WorkerId, i);
  const [views, pairs]: number[][] = [[], []];
  for (let i = 0; i < 220; i += 1) {
    now += 1000;
    const t0 = process.hrtime.bigint();
    const readers = fleet.views('model-0', 'prefill', new Set());
    const runners = fleet.views('model-0', 'decode', new Set());
    const t1 = process.hrtime.bigint();
    assignPair(q, readers, runners, tree.hits(promptBlocks(q)), undefined, terms, () => now, random);
    const t2 = process.hrtime.bigint();
    if (i < 20) continue;
    views!.push(Number(t1 - t0) / 1000);
    pairs!.push(Number(t2 - t1) / 1000);
  }
  function middle(xs: readonly number[]): number {
    return [...xs].sort((a, b) => a - b)[xs.length >> 1]!;
  }
  return {
    workers,
    scoreMs: middle(took),
    scoreMostMs: Math.max(...took),
    scoreLate: took.filter((x) => 1000 * x > placementDefaults.timeout).length / took.length,
    viewsUs: middle(views!),
    pairUs: middle(pairs!),
  };
}

// Processor time of one small message in sockets, encoding and decoding, both ends together, in microseconds.
export async function measureSocket(count: number): Promise<number> {
  const [a, b] = [0, 1].map((i) => `127.0.0.1:${21_000 + ((process.pid * 2) % 9000) + i}` as Address) as [
    Address,
    Address,
  ];
  const waits: (() => void)[] = [];
  const there = await createCarrier({ listen: b, receive: () => waits.shift()?.(), log: () => undefined });
  const here = await createCarrier({ listen: a, receive: () => undefined, log: () => undefined });
  const m: Message = {
    kind: 'Beat',
    version: 490,
    membershipEpoch: 3,
    list: 2 ** 31,
    age: 700,
    followers: 420,
    voting: true,
    leased: true,
    zone: 'zone-0',
    asked: 2 ** 40,
  };
  let spent = { user: 0, system: 0 };
  let from = process.cpuUsage();
  for (let i = 0; i < count + 200; i += 1) {
    if (i === 200) from = process.cpuUsage();
    await new Promise<void>((ok) => {
      waits.push(ok);
      here.send(b, m);
    });
  }
  spent = process.cpuUsage(from);
  await here.close();
  await there.close();
  return (spent.user + spent.system) / count;
}
