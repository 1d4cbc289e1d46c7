/** The tables and plots of a capacity run, as far as it came. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fitLine, meets, type Point } from './capacity-fit.js';
import type { AgentsFigures } from './capacity-agents.js';
import type { FollowersFigures } from './capacity-followers.js';
import type { RoleFigures } from './capacity-ground.js';
import type { ChoiceFigures, TreeFigures } from './capacity-parts.js';
import { plotSvg } from './capacity-plot.js';
import type { CapacitySize } from './capacity-sizes.js';

export interface SizeRun<T> {
  readonly size: CapacitySize;
  readonly runs: T[];
}
export interface CapacityRun {
  partial: boolean;
  socketUs: number | undefined;
  readonly followers: SizeRun<FollowersFigures>[];
  readonly quiet: SizeRun<FollowersFigures>[];
  readonly agents: SizeRun<AgentsFigures>[];
  readonly choice: SizeRun<ChoiceFigures>[];
  readonly tree: { readonly parts: boolean; readonly limit: number; readonly runs: TreeFigures[] }[];
}
export function newCapacityRun(): CapacityRun {
  return { partial: true, socketUs: undefined, followers: [], quiet: [], agents: [], choice: [], tree: [] };
}

interface Row<T> {
  readonly name: string;
  readonly of: (x: T) => number | readonly number[];
  readonly limit?: number;
}
export const budget = { bytes: 2000, share: 2.3, heapMb: 64 };

function short(n: number): string {
  if (!Number.isFinite(n)) return 'never';
  const a = Math.abs(n);
  return a >= 100 ? n.toFixed(0) : a >= 10 ? n.toFixed(1) : a >= 0.1 || n === 0 ? n.toFixed(2) : n.toPrecision(2);
}
function values<T>(r: SizeRun<T>, row: Row<T>): number[] {
  return r.runs.flatMap((x) => row.of(x)).sort((a, b) => a - b);
}
export function middleOf(xs: readonly number[]): number {
  return xs.length % 2 === 1 ? xs[xs.length >> 1]! : (xs[xs.length / 2 - 1]! + xs[xs.length / 2]!) / 2;
}

function points<T>(rs: readonly SizeRun<T>[], row: Row<T>, x: keyof CapacitySize): Point[] {
  return rs.filter((r) => r.runs.length > 0).map((r) => ({ x: r.size[x], y: middleOf(values(r, row)) }));
}

// Each size's middle (least to most), then the line, its fit, the power, and where a limit is met.
function table<T>(title: string, rs: readonly SizeRun<T>[], rows: readonly Row<T>[], x: keyof CapacitySize): string {
  const done = rs.filter((r) => r.runs.length > 0);
  if (done.length === 0) return '';
  const head = done.map((r) => `${r.size.members} x ${r.size.workers}`);
  const lines = rows.map((row) => {
    const cells = done.map((r) => {
      const v = values(r, row);
      const spread = v.length > 1 && v[0] !== v.at(-1) ? ` (${short(v[0]!)}..${short(v.at(-1)!)})` : '';
      return `${short(middleOf(v))}${spread}`;
    });
    const ps = points(done, row, x);
    const f = ps.every((p) => Number.isFinite(p.y)) && ps.length > 1 ? fitLine(ps) : undefined;
    const at = row.limit === undefined ? undefined : meets(ps, row.limit);
    const over = row.limit === undefined ? '' : at === undefined ? 'not met' : `${Math.round(at)}`;
    return `| ${[row.name, ...cells, f === undefined ? '' : short(f.slope), f === undefined ? '' : f.r2.toFixed(3), f?.power === undefined ? '' : f.power.toFixed(2), row.limit === undefined ? '' : short(row.limit), over].join(' | ')} |`;
  });
  const top = ['', ...head, `slope a ${x.slice(0, -1)}`, 'R2', 'power', 'limit', `passed at ${x}`];
  return [`### ${title}`, '', `| ${top.join(' | ')} |`, `|${top.map(() => '---').join('|')}|`, ...lines, '', ''].join(
    '\n',
  );
}

function kindRows<T>(rs: readonly SizeRun<T>[], role: (x: T) => RoleFigures): Row<T>[] {
  const seen = new Set(rs.flatMap((r) => r.runs.flatMap((x) => Object.keys(role(x).kinds))));
  return [...seen].sort().map((k) => ({ name: `of it ${k}, B/s`, of: (x: T) => role(x).kinds[k] ?? 0 }));
}
function roleRows<T>(role: (x: T) => RoleFigures, socketUs: number | undefined, limited: boolean): Row<T>[] {
  const us = socketUs ?? 0;
  return [
    { name: 'messages a second, both ways', of: (x) => role(x).messages },
    { name: 'bytes a second, both ways', of: (x) => role(x).bytes, ...(limited ? { limit: budget.bytes } : {}) },
    { name: 'bytes a second, sent', of: (x) => role(x).sent },
    { name: 'processor, cores, %, in cores and codec', of: (x) => 100 * role(x).share },
    {
      name: 'the same with sockets, %',
      of: (x) => 100 * (role(x).share + (role(x).messages * us) / 2e6),
      ...(limited ? { limit: budget.share } : {}),
    },
  ];
}

const followerRows: readonly Row<FollowersFigures>[] = [
  { name: 'heap a router, MB', of: (x) => x.routerHeap / 1e6, limit: budget.heapMb },
  { name: 'places of the core', of: (x) => x.replicas },
];
const sceneRows: readonly Row<FollowersFigures>[] = [
  { name: 'a change is acknowledged, ms', of: (x) => x.ackMs, limit: 4000 },
  { name: 'from there to the last router, ms', of: (x) => x.changeMs, limit: 11_000 },
  { name: 'sent in the fleet for a change, KB', of: (x) => x.changeBytes / 1000 },
  { name: 'messages in which a change reaches the routers', of: (x) => x.changeMessages },
  { name: 'a leaving worker is known by the last router, ms', of: (x) => x.leavingMs, limit: 3000 },
  { name: 'a zone is back, its last router has what it missed, ms', of: (x) => x.zoneMs, limit: 11_000 },
  { name: 'regions are back, the same, ms', of: (x) => x.apartMs, limit: 11_000 },
];
// Without what an agent and the router beside it say to each other on one machine.
function between(r: RoleFigures): RoleFigures {
  const [feed, state] = [r.kinds['Feed'] ?? 0, r.kinds['RouterState'] ?? 0];
  return { ...r, bytes: r.bytes - feed - state, sent: r.sent - feed };
}
const agentRows: readonly Row<AgentsFigures>[] = [
  { name: 'heap an agent, MB', of: (x) => x.heap / 1e6, limit: budget.heapMb },
  { name: 'others known, mean', of: (x) => x.knownMean },
  { name: 'others known, least', of: (x) => x.knownLeast },
  { name: 'members forgotten a second and agent', of: (x) => x.forgotten },
  { name: 'a mark is with all, ms', of: (x) => x.markMs, limit: 3000 },
  { name: 'routers with a tenure', of: (x) => x.granted },
];
const choiceRows: readonly Row<ChoiceFigures>[] = [
  { name: 'all scored in one batch, ms', of: (x) => x.scoreMs, limit: 5 },
  { name: 'the longest, ms', of: (x) => x.scoreMostMs },
  { name: 'part over 5 ms', of: (x) => x.scoreLate },
  { name: 'views of all, us', of: (x) => x.viewsUs },
  { name: 'a pair assigned, us', of: (x) => x.pairUs },
];

function treeTable(c: CapacityRun): string {
  if (c.tree.length === 0) return '';
  const lines = c.tree.map((t) => {
    function mid(f: (x: TreeFigures) => number): string {
      return short(middleOf(t.runs.map(f).sort((a, b) => a - b)));
    }
    return `| ${t.parts ? 'parts' : 'blocks of 16 tokens'} | ${t.limit} | ${mid((x) => x.blocks)} | ${mid((x) => x.heap / 1e6)} | ${mid((x) => x.heap / x.blocks)} | ${mid((x) => x.insertUs)} | ${mid((x) => x.insertMostMs)} | ${mid((x) => x.hitsUs)} | ${mid((x) => x.forgetMs)} |`;
  });
  return `### Radix tree\n\n| prompts by | bound | blocks held | heap, MB | bytes a block | insert, us | the longest, ms | hits, us | a worker forgotten, ms |\n|---|---|---|---|---|---|---|---|---|\n${lines.join('\n')}\n\n`;
}

export function reportTables(c: CapacityRun): string {
  const mark = c.partial ? '**PARTIAL: the run was broken off; what is missing was not measured.**\n\n' : '';
  const us = c.socketUs === undefined ? '' : `Sockets: ${short(c.socketUs)} us a message, both ends.\n\n`;
  return (
    mark +
    us +
    table(
      'Router, one process a machine',
      c.followers,
      [
        ...roleRows<FollowersFigures>((x) => x.router, c.socketUs, true),
        ...kindRows(c.followers, (x) => x.router),
        ...followerRows,
      ],
      'members',
    ) +
    table(
      'Keeper, one process a machine',
      c.followers,
      [
        ...roleRows<FollowersFigures>((x) => x.keeper, c.socketUs, false),
        ...kindRows(c.followers, (x) => x.keeper),
        { name: 'heap, MB, without followers', of: (x) => x.controlNodeHeap / 1e6 },
      ],
      'members',
    ) +
    table(
      'Router with neither reads nor loads told',
      c.quiet,
      [
        ...roleRows<FollowersFigures>((x) => x.router, c.socketUs, true),
        ...kindRows(c.quiet, (x) => x.router),
        ...sceneRows,
      ],
      'members',
    ) +
    table(
      'Keeper with neither reads nor loads told',
      c.quiet,
      roleRows<FollowersFigures>((x) => x.keeper, c.socketUs, false),
      'members',
    ) +
    table(
      "Agent of the product's own programs",
      c.agents,
      [
        ...roleRows<AgentsFigures>((x) => between(x.agent), c.socketUs, true),
        ...kindRows(c.agents, (x) => x.agent),
        ...agentRows,
      ],
      'members',
    ) +
    table(
      "Keeper of the product's own programs",
      c.agents,
      [...roleRows<AgentsFigures>((x) => x.keeper, c.socketUs, false), ...kindRows(c.agents, (x) => x.keeper)],
      'members',
    ) +
    table('A choice among workers', c.choice, choiceRows, 'workers') +
    treeTable(c)
  );
}

export function writeReport(c: CapacityRun, folder: string): void {
  mkdirSync(folder, { recursive: true });
  function plot(
    name: string,
    title: string,
    y: string,
    series: { name: string; points: Point[] }[],
    limit?: { name: string; y: number },
    x = 'members',
  ): void {
    const drawn = series
      .map((s) => ({ ...s, points: s.points.filter((p) => Number.isFinite(p.y)) }))
      .filter((s) => s.points.length > 0);
    if (drawn.length > 0)
      writeFileSync(join(folder, `${name}.svg`), plotSvg({ title, x, y, series: drawn, limit }, c.partial));
  }
  function of<T>(rs: readonly SizeRun<T>[], f: Row<T>['of'], x: keyof CapacitySize = 'members'): Point[] {
    return points(rs, { name: '', of: f }, x);
  }
  const us = c.socketUs ?? 0;
  function whole(r: RoleFigures): number {
    return 100 * (r.share + (r.messages * us) / 2e6);
  }
  plot(
    'bytes',
    'Control bytes a second of a daemon, both ways',
    'B/s',
    [
      { name: 'router', points: of(c.followers, (x) => x.router.bytes) },
      { name: 'router, no reads or loads told', points: of(c.quiet, (x) => x.router.bytes) },
      { name: 'keeper', points: of(c.followers, (x) => x.keeper.bytes) },
      { name: 'agent', points: of(c.agents, (x) => between(x.agent).bytes) },
    ],
    { name: '2 KB/s', y: budget.bytes },
  );
  plot(
    'processor',
    'Processor time of a daemon for control, with sockets',
    '% of a core',
    [
      { name: 'router', points: of(c.followers, (x) => whole(x.router)) },
      { name: 'router, no reads or loads told', points: of(c.quiet, (x) => whole(x.router)) },
      { name: 'keeper', points: of(c.followers, (x) => whole(x.keeper)) },
      { name: 'agent', points: of(c.agents, (x) => whole(x.agent)) },
    ],
    { name: '2.3 %', y: budget.share },
  );
  plot(
    'heap',
    'Heap of a daemon for control',
    'MB',
    [
      { name: 'router', points: of(c.followers, (x) => x.routerHeap / 1e6) },
      { name: 'agent', points: of(c.agents, (x) => x.heap / 1e6) },
    ],
    { name: '64 MB', y: budget.heapMb },
  );
  plot(
    'news',
    'Until the last router knows',
    'ms',
    [
      {
        name: 'a change, from its acknowledgement',
        points: of(c.quiet, (x) => x.changeMs.map((y) => Math.max(0.1, y))),
      },
      { name: 'a leaving worker', points: of(c.quiet, (x) => x.leavingMs) },
      { name: 'after a zone is back', points: of(c.quiet, (x) => x.zoneMs) },
      { name: 'after regions are back', points: of(c.quiet, (x) => x.apartMs) },
    ],
    { name: '11 s', y: 11_000 },
  );
  plot(
    'choice',
    'One placement decision',
    'ms',
    [
      { name: 'all scored in one batch', points: of(c.choice, (x) => x.scoreMs, 'workers') },
      { name: 'views and pair', points: of(c.choice, (x) => (x.viewsUs + x.pairUs) / 1000, 'workers') },
    ],
    { name: '5 ms', y: 5 },
    'workers',
  );
  plot('known', 'Other members known to an agent', 'members', [
    { name: 'mean', points: of(c.agents, (x) => x.knownMean) },
    { name: 'there are', points: c.agents.map((r) => ({ x: r.size.members, y: r.size.members - 1 })) },
  ]);
  const { partial, socketUs, ...kinds } = c;
  const lines = Object.entries(kinds).flatMap(([measured, rs]) => rs.map((r) => ({ measured, ...r })));
  writeFileSync(join(folder, 'figures.ndjson'), [{ partial, socketUs }, ...lines].map(figure).join(''));
}

function figure(x: object): string {
  return `${JSON.stringify(x, (_, v: unknown) => (typeof v === 'number' ? Number(v.toPrecision(5)) : v))}\n`;
}
