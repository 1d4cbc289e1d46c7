#!/usr/bin/env node
// The simulator's command: runs as many seeds as wanted, in worker threads, and prints each breach with the
// seed and the faults it needs.
import { availableParallelism } from 'node:os';
import { Worker, isMainThread, parentPort } from 'node:worker_threads';
import { Builtins, Cli, Command, Option } from 'clipanion';
import { DutiesCommand, ModelCommand, MutantsCommand, WalkCommand } from '@tansypost/model-checker/commands';
import { deployments } from '@tansypost/requester-stand-in';
import { ControlCommand } from './control-runs/control-command.js';
import { shrink, type SimFault } from './faults.js';
import { loads, measureOne, policies, type Figure, type Load, type Policy } from './measure.js';
import { runOne, type OneResult } from './one.js';
import { measureParts } from './measure-parts.js';
import { fleetShows, measureVerdict, type Harm } from './verdicts.js';
import { compareScalingPolicies } from './scaling/scaling-comparison.js';
import {
  passedDeployments,
  passedTroubleKinds,
  playPassedOne,
  tenantTroubleKinds,
  type PassedOne,
  type PassedTroubleKind,
} from './pass-through/index.js';

const allTroubleKinds: readonly PassedTroubleKind[] = [...passedTroubleKinds, ...tenantTroubleKinds];

interface Job {
  readonly deployment: string;
  readonly seed: number;
  readonly only: readonly string[] | undefined;
}

class Simulate extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: 'Run seeds of a simulated fleet and check what must never happen. Ends with 1 on any breach.',
  });
  shape = Option.String('--deployment', 'ferry');
  from = Option.String('--from', '1');
  count = Option.String('--count', '20');
  threads = Option.String('--threads', `${Math.max(1, availableParallelism() - 1)}`);
  kinds = Option.String('--kinds', {
    description: 'draw a dozen faults a run of these kinds only, with commas between',
  });
  less = Option.Boolean('--shrink', false, { description: 'for each breach, find the faults that it needs' });
  logs = Option.Boolean('--logs', false, { description: 'print the events of the (one) seed' });
  only = Option.String('--faults', { description: 'a JSON list of faults instead of the drawn ones' });
  async execute(): Promise<number> {
    const d = deployments[this.shape];
    if (d === undefined) {
      this.context.stderr.write(`simulator: unknown deployment ${this.shape}\n`);
      return 2;
    }
    const [from, count] = [Number(this.from), Number(this.count)];
    if (count === 1) return this.single(from);
    let next = from;
    let [bad, done, requests, whole] = [0, 0, 0, 0];
    const { stdout } = this.context;
    const { shape } = this;
    const only = this.kinds?.split(',');
    async function worker(): Promise<void> {
      const w = new Worker(new URL(import.meta.url));
      for (; next < from + count;) {
        const seed = next;
        next += 1;
        const x = await new Promise<OneResult | string>((ok) => {
          function told(m: OneResult): void {
            w.off('error', failed);
            ok(m);
          }
          function failed(e: Error): void {
            w.off('message', told);
            ok(String(e.stack));
          }
          w.once('message', told);
          w.once('error', failed);
          w.postMessage({ deployment: shape, seed, only } satisfies Job);
        });
        done += 1;
        if (typeof x === 'string') {
          bad += 1;
          stdout.write(`seed ${seed}: ${x}\n`);
          return worker();
        }
        requests += x.requests;
        whole += x.whole;
        if (x.breaches.length > 0) {
          bad += 1;
          stdout.write(`seed ${seed}: ${x.breaches.map((b) => `${b.point}: ${b.what}`).join('; ')}\n`);
        }
      }
      await w.terminate();
    }
    await Promise.all(Array.from({ length: Math.min(count, Number(this.threads)) }, worker));
    this.context.stdout.write(
      `${this.shape}: ${done} seeds from ${from}, ${bad} with a breach; ${requests} requests, ${whole} answered whole\n`,
    );
    return bad > 0 ? 1 : 0;
  }

  private async single(seed: number): Promise<number> {
    const d = deployments[this.shape]!;
    const given = this.only === undefined ? undefined : (JSON.parse(this.only) as SimFault[]);
    const x = await runOne(d, seed, given, { keepLogs: this.logs }, this.kinds?.split(','));
    const out = this.context.stdout;
    for (const l of x.history.logs)
      out.write(`${(l.at / 1e6).toFixed(3)} E${l.event} ${l.who} ${JSON.stringify(l.fields)}\n`);
    for (const f of x.faults) out.write(`fault ${JSON.stringify(f)}\n`);
    for (const b of x.breaches) out.write(`breach ${b.point}: ${b.what}\n`);
    const ends: Record<string, number> = {};
    for (const q of x.history.requests) ends[q.ended] = (ends[q.ended] ?? 0) + 1;
    out.write(
      `${JSON.stringify(ends)} ${JSON.stringify(x.history.changes.map((c) => `${c.answer} ${c.version ?? ''} ${((c.end ?? 0) - c.at) / 1e6}`))} read back ${JSON.stringify(x.history.readBack)}\n`,
    );
    if (this.less && x.breaches.length > 0) {
      const points = new Set(x.breaches.map((b) => b.point));
      const s = await shrink(x.faults, async (fs) =>
        (await runOne(d, seed, fs)).breaches.some((b) => points.has(b.point)),
      );
      out.write(`needs ${JSON.stringify(s)}\n`);
    }
    return x.breaches.length > 0 ? 1 : 0;
  }
}

interface MeasureJob {
  readonly deployment: string;
  readonly policy: Policy;
  readonly load: Load;
  readonly seed: number;
  readonly seconds: number;
}

class Measure extends Command {
  static override paths = [['measure']];
  static override usage = Command.Usage({
    description: 'Compare the placement policies on the same arrivals, paired by seed.',
  });
  shape = Option.String('--deployment', 'ferry');
  seeds = Option.String('--seeds', '3');
  secondsFor = Option.String('--seconds', '240');
  which = Option.String('--loads', loads.join(','), { description: loads.join(', ') });
  threads = Option.String('--threads', `${Math.max(1, availableParallelism() - 1)}`);
  async execute(): Promise<number> {
    const chosen = loads.filter((l) => this.which.split(',').includes(l));
    const jobs: MeasureJob[] = [];
    for (let seed = 1; seed <= Number(this.seeds); seed += 1) {
      for (const load of chosen)
        for (const policy of policies)
          jobs.push({ deployment: this.shape, policy, load, seed, seconds: Number(this.secondsFor) });
    }
    const out: Figure[] = [];
    async function work(): Promise<void> {
      for (let j = jobs.shift(); j !== undefined; j = jobs.shift()) {
        const job = j;
        const w = new Worker(new URL(import.meta.url));
        out.push(
          await new Promise<Figure>((ok, no) => {
            w.once('message', ok);
            w.once('error', no);
            w.postMessage(job);
          }),
        );
        await w.terminate();
      }
    }
    await Promise.all(Array.from({ length: Number(this.threads) }, work));
    const print = this.context.stdout;
    for (const load of chosen) {
      for (const policy of policies) {
        const fs = out.filter((f) => f.load === load && f.policy === policy).sort((a, b) => a.seed - b.seed);
        const base = fs.map((f) => out.find((x) => x.load === load && x.policy === 'heuristic' && x.seed === f.seed)!);
        const ratios = fs.map((f, i) => f.mean / base[i]!.mean);
        print.write(
          `| ${load} | ${policy} | ${fs.map((f) => f.mean.toFixed(0)).join(' / ')} | ${fs.map((f) => f.p50.toFixed(0)).join(' / ')} | ${fs.map((f) => f.p99.toFixed(0)).join(' / ')} | ${ratios.map((x) => x.toFixed(2)).join(' / ')} | ${fs.map((f) => f.failed).join(' / ')} |\n`,
        );
      }
    }
    for (const f of out.filter((x) => x.policy === 'lodestar'))
      print.write(`${f.load} seed ${f.seed}: live ${f.live}; ${f.shares}; ${f.rehearsals}\n`);
    return 0;
  }
}

const harms: readonly (readonly [string, Harm])[] = [
  ['better by 5 %', { ttft: 0.95, token: 1, fail: 0 }],
  ['the same', { ttft: 1, token: 1, fail: 0 }],
  ['TTFT 5 % above', { ttft: 1.05, token: 1, fail: 0 }],
  ['TTFT 10 % above', { ttft: 1.1, token: 1, fail: 0 }],
  ['TTFT 20 % above', { ttft: 1.2, token: 1, fail: 0 }],
  ['TTFT 50 % above', { ttft: 1.5, token: 1, fail: 0 }],
  ['time per token 10 % above', { ttft: 1, token: 1.1, fail: 0 }],
  ['time per token 20 % above', { ttft: 1, token: 1.2, fail: 0 }],
  ['2 points more fail', { ttft: 1, token: 1, fail: 0.02 }],
  ['5 points more fail', { ttft: 1, token: 1, fail: 0.05 }],
];

class Parts extends Command {
  static override paths = [['parts']];
  static override usage = Command.Usage({
    description: 'Compare shifts of parts with parts held still, on the same arrivals.',
  });
  shape = Option.String('--deployment', 'ferry');
  seeds = Option.String('--seeds', '5,6,7');
  secondsFor = Option.String('--seconds', '600');
  period = Option.String('--period', '2400', {
    description: 'seconds of a swing between long prompts and long answers',
  });
  async execute(): Promise<number> {
    const d = deployments[this.shape];
    if (d === undefined) return 2;
    const out = this.context.stdout;
    for (const seed of this.seeds.split(',').map(Number)) {
      for (const shifts of [false, true]) {
        const f = await measureParts(d, seed, Number(this.secondsFor), Number(this.period), shifts);
        out.write(
          `| ${this.shape} | ${seed} | ${shifts ? 'on' : 'off'} | ${f.whole} of ${f.asked} | ${f.mean.toFixed(0)} | ${f.p99.toFixed(0)} | ${f.ended} |\n`,
        );
      }
    }
    return 0;
  }
}

class Verdicts extends Command {
  static override paths = [['verdicts']];
  static override usage = Command.Usage({
    description: 'Measure how often the verdict on a rehearsal errs, on what a simulated fleet shows.',
  });
  shape = Option.String('--deployment', 'ferry');
  seed = Option.String('--seed', '1');
  count = Option.String('--count', '2000');
  secondsFor = Option.String('--seconds', '330');
  swing = Option.Boolean('--swing', false, { description: 'take the traffic that swings' });
  async execute(): Promise<number> {
    const d = deployments[this.shape];
    if (d === undefined) return 2;
    const seen = await fleetShows(d, Number(this.seed), Number(this.secondsFor), this.swing);
    const out = this.context.stdout;
    out.write(
      `${this.shape}, seed ${this.seed}, ${seen.length} requests at ${d.rate} a second, ${this.count} rehearsals a case\n| harm done to the slice | passes the first stage | called harmful | open | goes live | median s |\n|---|---|---|---|---|---|\n`,
    );
    for (const [name, harm] of harms) {
      const f = measureVerdict(seen, Number(this.seed), Number(this.count), d.rate, harm);
      out.write(
        `| ${name} | ${(100 * f.passed).toFixed(1)} % | ${(100 * f.harmful).toFixed(1)} % | ${(100 * f.open).toFixed(1)} % | ${(100 * f.live).toFixed(1)} % | ${f.medianSeconds} |\n`,
      );
    }
    return 0;
  }
}

interface PassedJob {
  readonly passed: string;
  readonly seed: number;
  readonly only: readonly PassedTroubleKind[] | undefined;
  readonly rate: number;
}
type PassedResult = Omit<PassedOne, 'history'>;

function line(x: PassedResult): string {
  const n = x.figures.length;
  const troubles = x.troubles.map((t) => `${t.do} ${t.at.toFixed(1)}`).join(', ');
  return `seed ${x.seed}: ${x.served} of ${x.tasks} served, ${x.inTime} in time, ${n} routers; ${JSON.stringify(x.ends)}; ${JSON.stringify(x.margins)}; ${troubles || 'no troubles'}\n`;
}

class Scaling extends Command {
  static override paths = [['scaling']];
  static override usage = Command.Usage({
    description:
      'Weigh the orders of workers on a closed model: late and failed requests, seconds of workers paid for.',
  });
  seeds = Option.String('--seeds', '5');
  async execute(): Promise<void> {
    const { stdout } = this.context;
    stdout.write('day | policy | requests | late | failed | worker seconds | orders | value\n');
    for (const figures of compareScalingPolicies(Number(this.seeds))) {
      const { day, policy, requests, late, failed, workerSeconds, orders, value } = figures;
      const seconds = Math.round(workerSeconds);
      const shares = [late, failed].map((count) => `${((100 * count) / requests).toFixed(2)} %`);
      stdout.write(`${[day, policy, requests, ...shares, seconds, orders, value.toFixed(4)].join(' | ')}\n`);
    }
  }
}

class Passed extends Command {
  static override paths = [['passed']];
  static override usage = Command.Usage({
    description:
      'Play virtual days of traffic that is passed on, with troubles drawn by seed. Ends with 1 on any breach.',
  });
  shape = Option.String('--deployment', 'ferry', { description: Object.keys(passedDeployments).join(' or ') });
  seed = Option.String('--seed', '1');
  count = Option.String('--seeds', '1');
  rate = Option.String('--rate', '1', { description: 'how many times the usual number of requests come' });
  kinds = Option.String('--kinds', { description: `a dozen troubles of these only: ${allTroubleKinds.join(',')}` });
  threads = Option.String('--threads', `${Math.max(1, availableParallelism() >> 1)}`);
  async execute(): Promise<number> {
    const only = this.kinds?.split(',').filter((k): k is PassedTroubleKind => allTroubleKinds.includes(k as never));
    if (passedDeployments[this.shape] === undefined || only?.length === 0) {
      this.context.stderr.write(
        `simulator: unknown deployment or trouble; take one of ${Object.keys(passedDeployments).join(', ')}\n`,
      );
      return 2;
    }
    const { stdout } = this.context;
    const to = Number(this.seed) + Number(this.count);
    const { shape } = this;
    const rate = Number(this.rate);
    let next = Number(this.seed);
    let [days, bad, tasks, served, inTime] = [0, 0, 0, 0, 0];
    async function work(): Promise<void> {
      while (next < to) {
        const job: PassedJob = { passed: shape, seed: next, only, rate };
        next += 1;
        const w = new Worker(new URL(import.meta.url));
        const x = await new Promise<PassedResult>((ok, no) => {
          w.once('message', ok);
          w.once('error', no);
          w.postMessage(job);
        });
        await w.terminate();
        days += 1;
        tasks += x.tasks;
        served += x.served;
        inTime += x.inTime;
        if (x.breaches.length > 0) bad += 1;
        stdout.write(line(x));
        for (const b of x.breaches) stdout.write(`  breach, ${b.rule}: ${b.what}\n`);
      }
    }
    await Promise.all(Array.from({ length: Math.min(Number(this.count), Number(this.threads)) }, work));
    stdout.write(
      `${shape}: ${days} days, ${bad} with a breach; ${tasks} requests, ${served} served, ${inTime} in time\n`,
    );
    return bad > 0 ? 1 : 0;
  }
}

if (isMainThread) {
  const cli = new Cli({ binaryLabel: 'simulator', binaryName: 'simulator', binaryVersion: '0.1.0' });
  cli.register(Builtins.HelpCommand);
  cli.register(Simulate);
  cli.register(Measure);
  cli.register(Verdicts);
  cli.register(Parts);
  cli.register(Passed);
  cli.register(Scaling);
  cli.register(ControlCommand);
  cli.register(ModelCommand);
  cli.register(WalkCommand);
  cli.register(DutiesCommand);
  cli.register(MutantsCommand);
  process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext);
} else {
  parentPort!.on('message', (j: Job | MeasureJob | PassedJob) => {
    if ('passed' in j) {
      const shape = passedDeployments[j.passed]!;
      return void playPassedOne(shape, j.seed, { rate: j.rate }, j.only).then(({ history: _h, ...x }) =>
        parentPort!.postMessage(x),
      );
    }
    const d = deployments[j.deployment]!;
    if ('policy' in j) void measureOne(d, j.policy, j.load, j.seed, j.seconds).then((f) => parentPort!.postMessage(f));
    else void runOne(d, j.seed, undefined, {}, j.only).then(({ history: _h, ...x }) => parentPort!.postMessage(x));
  });
}
