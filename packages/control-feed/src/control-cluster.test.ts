import { describe, expect, it } from 'vitest';
import type { Message } from '@tansypost/inner-protocol';
import { createSeededRandom } from '@tansypost/inner-protocol';
import {
  createControlCluster,
  foundControlCluster,
  seedNames,
  type ControlCluster,
  type Network,
} from '@tansypost/simulator';
import type { ControlResponse } from './asker.js';
import { configurationKey } from './configuration.js';
import type { ControlFeed } from './control-feed.js';

type Tamper = Parameters<Network['tamper']>[0];
interface Core extends ControlCluster {
  readonly write: (via: string, base: number, text: string) => Promise<ControlResponse>;
  readonly read: (via: string) => Promise<ControlResponse>;
  readonly put: (via: string, base: number, text: string) => Promise<string>;
  readonly get: (via: string) => Promise<string>;
  readonly router: (name: string) => ControlFeed;
}

// Adds calls that pass virtual time until they are answered.
function withCalls(c: ControlCluster): Core {
  async function answered(p: Promise<ControlResponse>): Promise<ControlResponse> {
    const got: { a?: ControlResponse } = {};
    void p.then((a) => (got.a = a));
    for (let n = 0; n < 100 && got.a === undefined; n += 1) await c.run(10);
    return got.a ?? { status: 'silent', epoch: 0, version: 0, value: Buffer.alloc(0) };
  }
  function write(via: string, base: number, text: string): Promise<ControlResponse> {
    return answered(
      c.ask(via, {
        op: 'write',
        key: configurationKey,
        change: text,
        base,
        value: Buffer.from(text),
      }),
    );
  }
  function read(via: string): Promise<ControlResponse> {
    return answered(c.ask(via, { op: 'read', key: configurationKey }));
  }
  return {
    ...c,
    write,
    read,
    put: async (via, base, text) => (await write(via, base, text)).status,
    get: async (via) => (await read(via)).value.toString(),
    router: (name) => c.startRouter(name).feed,
  };
}

async function founded(seed: number, names = seedNames): Promise<Core> {
  return withCalls(await foundControlCluster(seed, names));
}

it('founds by its seeds, and writes what is acknowledged where every router hears of it', async () => {
  const c = await founded(1);
  expect(c.voting()).toEqual(seedNames);
  const r = c.router('r');
  expect(await c.put('c1', 0, 'one')).toBe('done');
  expect(await c.put('c2', 0, 'two')).toBe('lost');
  expect(await c.put('c0', 0, 'one')).toBe('done');
  await c.run(1000);
  expect(r.configuration()).toEqual({ version: 1, value: Buffer.from('one') });
  expect([r.isInContact(), r.routerCount()]).toEqual([true, 1]);
});

it('never founds with a blank disk where it was not told to', async () => {
  const c = createControlCluster(2);
  for (const n of seedNames) {
    c.add(n);
    c.start(n, n !== 'c2' && false);
  }
  await c.run(5000);
  expect(c.voting()).toEqual([]);
});

it('grows to five places where five machines start the system, and then bears the loss of two', async () => {
  const c = await founded(3, ['c0', 'c1', 'c2', 'c3', 'c4']);
  await c.run(3000);
  expect(c.replicas('c4')).toEqual(['c0', 'c1', 'c2', 'c3', 'c4']);
  expect(c.voting().length).toBe(5);
  expect(await c.put('c3', 0, 'one')).toBe('done');
  c.wipe('c0');
  c.kill('c1');
  await c.run(1300);
  expect(await c.get('c2')).toBe('one');
  expect(await c.put('c4', 1, 'two')).toBe('done');
});

it('takes a wiped disk back as a whole copy within two seconds, and then bears the next loss', async () => {
  const c = await founded(4);
  expect(await c.put('c0', 0, 'one')).toBe('done');
  for (const [i, n] of seedNames.entries()) {
    c.wipe(n);
    await c.run(700);
    c.start(n);
    await c.run(2000);
    expect(c.voting()).toEqual(seedNames);
    expect(await c.get(n)).toBe(i === 0 ? 'one' : `after ${i - 1}`);
    expect(await c.put(n, i + 1, `after ${i}`)).toBe('done');
  }
});

it('takes a wiped disk back though all its seeds are gone and the first word of the core is lost', async () => {
  const c = await founded(12);
  c.net.tamper((m, _from, to) => (m.kind === 'ReplicaHello' && m.replicas.length > 0 && to === 'c0' ? [] : undefined));
  c.wipe('c0');
  c.start('c0', false, ['x0', 'x1', 'x2']);
  await c.run(700);
  c.net.tamper(undefined);
  await c.run(1300);
  expect(c.voting()).toEqual(seedNames);
});

it('lets no wiped disk vote before it has copied from as many as hold every acknowledged change', async () => {
  const c = await founded(11);
  for (const silent of ['c1', 'c2']) {
    c.net.tamper((m, from) => (m.kind === 'CopyPage' && from === silent ? [] : undefined));
    c.wipe('c0');
    c.start('c0');
    await c.run(2500);
    expect(c.voting()).toEqual(['c1', 'c2']);
    c.net.tamper(undefined);
    await c.run(1000);
    expect(c.voting()).toEqual(seedNames);
  }
});

it('gives the place of a machine that is gone to one at a new address, and routers outlive all seeds', async () => {
  const c = await founded(5);
  const r = c.router('r');
  expect(await c.put('c0', 0, 'v0')).toBe('done');
  for (const [i, n] of seedNames.entries()) {
    c.kill(n);
    c.add(`n${i}`);
    await c.run(500);
    c.start(`n${i}`, false, [`n${i}`, ...c.voting()]);
    await c.run(3000);
    expect(c.voting().length).toBe(3);
    expect(await c.put(`n${i}`, i + 1, `v${i + 1}`)).toBe('done');
  }
  expect(c.replicas('n0')).toEqual(['n0', 'n1', 'n2']);
  await c.run(500);
  expect(r.configuration()?.value.toString()).toBe('v3');
});

it('hands the place of a machine that says it leaves on at once, and waits while nobody is missing', async () => {
  const c = await founded(6);
  expect(await c.put('c0', 0, 'one')).toBe('done');
  c.add('n');
  c.start('n');
  await c.run(3000);
  expect(c.voting()).toEqual(seedNames);
  expect(await c.get('n')).toBe('one');
  c.machine('c1').host!.leave(5_000_000, () => undefined);
  await c.run(700);
  expect(c.replicas('n')).toEqual(['c0', 'c2', 'n']);
  expect(c.voting()).toEqual(['c0', 'c2', 'n']);
});

it('fences a machine that was replaced while it was frozen, which then waits and is of use again', async () => {
  const c = await founded(7);
  expect(await c.put('c0', 0, 'one')).toBe('done');
  c.machine('c1').proc.frozen = true;
  c.add('n');
  c.start('n');
  await c.run(5000);
  expect(c.replicas('n')).toEqual(['c0', 'c2', 'n']);
  expect(await c.put('n', 1, 'two')).toBe('done');
  c.wake('c1');
  await c.run(50);
  expect(await c.put('c1', 1, 'three')).not.toBe('done');
  await c.run(3000);
  expect(c.replicas('c1')).toEqual(['c0', 'c2', 'n']);
  expect(await c.get('c1')).toBe('two');
  c.kill('c0');
  await c.run(3000);
  expect(c.voting()).toEqual(['c1', 'c2', 'n']);
  expect(await c.put('c1', 2, 'three')).toBe('done');
});

it('replaces nobody because it was itself the one that heard nothing', async () => {
  const c = await founded(8);
  c.add('n');
  c.start('n');
  await c.run(1000);
  for (const n of seedNames) {
    c.machine(n).proc.frozen = true;
    await c.run(900);
    c.wake(n);
    await c.run(1500);
  }
  expect(c.replicas('c0')).toEqual(seedNames);
});

it('acknowledges one of two changes on the same version, whichever machines they reach', async () => {
  for (let seed = 20; seed < 30; seed += 1) {
    const c = await founded(seed);
    expect(await c.put('c0', 0, 'one')).toBe('done');
    const q = { op: 'write', key: configurationKey, base: 1 } as const;
    const got: string[] = [];
    for (const [i, n] of seedNames.entries())
      void c.ask(n, { ...q, change: `x${i}`, value: Buffer.from(`x${i}`) }).then((a) => got.push(a.status));
    if (seed % 2 === 0) c.kill('c0');
    await c.run(2500);
    expect(got.filter((s) => s === 'done').length).toBeLessThan(2);
    expect((await c.get('c1')).length).toBeGreaterThan(0);
  }
});

it('serves again within two seconds of all being killed, with all that was acknowledged', async () => {
  const c = await founded(9);
  expect(await c.put('c2', 0, 'one')).toBe('done');
  for (const n of seedNames) c.kill(n);
  await c.run(1000);
  for (const n of seedNames) c.start(n);
  await c.run(300);
  expect(await c.get('c1')).toBe('one');
  expect(await c.put('c0', 1, 'two')).toBe('done');
});

it('goes on acknowledging while one disk hangs or refuses, whoever is asked', async () => {
  const c = await founded(10);
  let v = 0;
  for (const n of seedNames) {
    const d = c.machine(n).disk;
    for (const how of ['stalled', 'full'] as const) {
      d[how] = true;
      for (const via of seedNames) {
        const until = v;
        for (let tries = 0; tries < 3 && v === until; tries += 1) if ((await c.put(via, v, `v${v}`)) === 'done') v += 1;
        expect([n, how, via, v]).toEqual([n, how, via, until + 1]);
      }
      d.full = false;
      d.resume();
      await c.run(2500);
    }
  }
  expect(c.voting()).toEqual(seedNames);
});

it('tells routers what was acknowledged though its owner died right then', async () => {
  for (let seed = 40; seed < 46; seed += 1) {
    const c = await founded(seed);
    const rs = [c.router('r0'), c.router('r1')];
    await c.run(1000);
    let owner = '';
    c.net.tamper((m, from) =>
      m.kind === 'News' && m.news.length > 0 && (owner === '' || from === owner) ? [] : undefined,
    );
    expect(await c.put('c0', 0, 'one')).toBe('done');
    owner = seedNames.find((n) =>
      c
        .machine(n)
        .host!.controlNode()!
        .ledKeys()
        .some((k) => k.key === configurationKey),
    )!;
    c.kill(owner);
    await c.run(1700);
    for (const r of rs) expect(r.configuration()?.value.toString()).toBe('one');
  }
});

// Troubles one after the other with calm between them, at most one disk lost in any, while changes are made and
// routers follow. Gives what broke.
async function troubles(seed: number, rounds: number, tamper?: Tamper): Promise<string[]> {
  const r = createSeededRandom(seed * 7919);
  const names = seed % 3 === 0 ? ['c0', 'c1', 'c2', 'c3', 'c4'] : [...seedNames];
  const c = await founded(seed, names);
  await c.run(2000);
  const feeds = [c.router('r0'), c.router('r1')];
  c.net.tamper(tamper);
  const acked = new Map<number, string>();
  const shown = feeds.map(() => 0);
  const faults: string[] = [];
  let n = 0;

  function any(xs: readonly string[]): string {
    return xs[Math.floor(r() * xs.length)]!;
  }
  function alive(): string[] {
    return names.filter((x) => c.machine(x).proc.alive && !c.machine(x).proc.frozen);
  }
  // Reads, then changes what was read, sometimes by two at once.
  async function change(): Promise<boolean> {
    if (alive().length === 0) return false;
    const was = await c.read(any(alive()));
    if (was.status !== 'value') return false;
    const newest = Math.max(0, ...acked.keys());
    if (was.version < newest) faults.push(`read ${was.version} after ${newest} was acknowledged`);
    const said = acked.get(was.version);
    if (said !== undefined && said !== was.value.toString()) faults.push(`read ${was.value.toString()}, not ${said}`);
    if (alive().length === 0) return false;
    const texts = r() < 0.3 ? [`w${(n += 1)}`, `w${(n += 1)}`] : [`w${(n += 1)}`];
    const as = await Promise.all(texts.map((t) => c.write(any(alive()), was.version, t)));
    as.forEach((a, i) => {
      if (a.status !== 'done') return;
      if (a.version !== was.version + 1) faults.push(`${texts[i]} on ${was.version} became ${a.version}`);
      if (acked.has(a.version)) faults.push(`two on ${was.version}: ${acked.get(a.version)}, ${texts[i]}`);
      acked.set(a.version, texts[i]!);
    });
    feeds.forEach((f, i) => {
      const d = f.configuration();
      if ((d?.version ?? 0) < shown[i]!) faults.push(`a router went back to ${d?.version}`);
      shown[i] = d?.version ?? 0;
      const x = acked.get(shown[i]!);
      if (x !== undefined && x !== d?.value.toString()) faults.push(`a router has ${d?.value.toString()}, not ${x}`);
    });
    return as.some((a) => a.status === 'done');
  }

  for (let k = 0; k < rounds; k += 1) {
    const x = any(names);
    const m = c.machine(x);
    const pick = any(['kill', 'wipe', 'freeze', 'stall', 'full', 'cut', 'herd', 'replace', 'slow', 'leave']);
    if (pick === 'kill') c.kill(x);
    if (pick === 'wipe') c.wipe(x);
    if (pick === 'freeze') m.proc.frozen = true;
    if (pick === 'stall') m.disk.stalled = true;
    if (pick === 'full') m.disk.full = true;
    if (pick === 'slow') m.disk.slowUs = 125_000;
    if (pick === 'cut') c.net.cut('k', (a, b) => (a === x) !== (b === x));
    if (pick === 'herd') for (const y of names) c.kill(y);
    if (pick === 'leave') m.host?.leave(5_000_000, () => undefined);
    if (pick === 'replace') {
      c.kill(x);
      names.splice(names.indexOf(x), 1, `s${k}`);
      c.add(`s${k}`);
      c.start(`s${k}`, false, [`s${k}`, ...c.voting()]);
    }
    const end = 3 + Math.floor(r() * 10);
    for (let i = 0; i < end; i += 1) {
      await change();
      await c.run(r() * 500);
      if (i === 2) for (const y of names) if (!c.machine(y).proc.alive) c.start(y);
    }
    c.net.heal('k');
    m.disk.full = false;
    m.disk.slowUs = 0;
    m.disk.resume();
    if (m.proc.frozen) c.wake(x);
    if (pick === 'leave') c.kill(x);
    for (const y of names) if (!c.machine(y).proc.alive) c.start(y);
    await c.run(3000);
    let done = false;
    for (let i = 0; i < 4 && !done; i += 1) done = await change();
    if (!done) faults.push(`${k}: no change taken after ${pick} of ${x}`);
    await c.run(2000);
    if (c.voting().length < (seed % 3 === 0 ? 5 : 3))
      faults.push(`${k}: only ${c.voting().join()} vote after ${pick} of ${x}`);
    for (const f of feeds)
      if ((f.configuration()?.version ?? 0) < Math.max(...acked.keys()))
        faults.push(`${k}: a router lags after ${pick}`);
    for (const f of feeds) {
      if (
        f
          .workers()
          .map((x) => `${x.id} ${x.leaving}`)
          .join() !== 'a false,b true'
      )
        faults.push(`${k}: no workers`);
      if (f.loads().size !== 2 || !f.isInContact()) faults.push(`${k}: no loads, or the core is not heard`);
    }
    if (faults.length > 0) break;
  }
  return faults.map((f) => `seed ${seed}: ${f}`);
}

it('loses nothing, takes no two changes on one version and comes back from every trouble', async () => {
  for (let seed = 1; seed <= 12; seed += 1) expect(await troubles(seed, 15)).toEqual([]);
});

// The kinds that the core and its followers exchange; those of other programs are met in the tests of the fleet.
const spoken = [
  'Join',
  'Committed',
  'Follow',
  'Beat',
  'WorkerList',
  'WorkerLoads',
  'News',
  'ReplicaHello',
  'CopyAsk',
  'CopyPage',
  'Prepare',
  'Accept',
  'Check',
  'Vote',
  'Ask',
  'Answer',
] as const;

function tamperWith(kind: string, way: string, counted: { n: number }): Tamper {
  let seen = 0;
  const old = new Map<string, Message>();
  return function change(m, from, to) {
    if (m.kind !== kind) return undefined;
    seen += 1;
    if (seen % 3 !== 0) {
      if (seen % 7 === 1) old.set(`${from}>${to}`, m);
      return undefined;
    }
    counted.n += 1;
    if (way === 'dropped') return [];
    if (way === 'repeated') return [{ m }, { m }];
    if (way === 'late') return [{ m, after: 400_000 }];
    const o = old.get(`${from}>${to}`);
    return o === undefined ? undefined : [{ m: o }, { m }];
  };
}

describe.each(['dropped', 'repeated', 'late', 'stale'])('%s', (way) => {
  it.each(spoken)('%s', async (kind) => {
    const counted = { n: 0 };
    for (let seed = 1; seed <= 4; seed += 1)
      expect(await troubles(seed, 10, tamperWith(kind, way, counted))).toEqual([]);
    expect(counted.n).toBeGreaterThan(0);
  });
});

it('gives a starting router nothing old from a control node that is cut off, and the newest once it is back', async () => {
  const c = await founded(21);
  expect(await c.put('c0', 0, 'one')).toBe('done');
  await c.run(500);
  for (const cut of seedNames) {
    const [via] = seedNames.filter((name) => name !== cut);
    const r = `r-${cut}`;
    c.net.cut('apart', (a, b) => [cut, r].includes(a) !== [cut, r].includes(b));
    await c.run(2500);
    const version = 1 + seedNames.indexOf(cut);
    expect(await c.put(via!, version, `after ${cut}`)).toBe('done');
    const router = c.router(r);
    await c.run(2000);
    expect(router.configuration()).toBeUndefined();
    c.net.heal('apart');
    await c.run(1000);
    expect(router.configuration()).toEqual({ version: version + 1, value: Buffer.from(`after ${cut}`) });
  }
});
