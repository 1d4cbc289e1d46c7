/**
 * The requesters of a virtual day. Each connects through the platform, which spreads them over the routers of their
 * zone that answer its probe; they try again only where that can do no harm, and some more often than told.
 */
import { createSeededRandom } from '@tansypost/inner-protocol';
import type { IncomingRequest } from '@tansypost/pass-through';
import { digestOfKey } from '@tansypost/paths';
import type { Ground } from './ground.js';
import { hostOf, targetOf } from './paths-drawn.js';
import { drawLogNormal, usualEngine } from './engine-shape.js';
import { mainService, type KindDraw, type PassedKind } from './passed-deployment.js';
import type { AttemptRecord } from './passed-history.js';
import { piecesOf } from './virtual-worker.js';
import type { RequesterConnection, VirtualRouter } from './virtual-router.js';

export interface VirtualRequesters {
  readonly begin: (until: number) => void;
  // How many times the usual number come.
  crowd: number;
}
/** What a request is about, as its head says. */
interface Prompt {
  readonly promptTokens: number;
  readonly answerTokens: number;
  readonly pieces: number;
  readonly parts: { readonly id: string; readonly tokens: number }[];
}
/** Tokens of an answer weigh so much more than those of a prompt. */
const answerWeight = 10;
/** Above 1, so that some things are met more often than others. */
const skew = 1.3;
const probeEvery = 1_000_000;
const connectPatience = 1_000_000;
/** Clients of a zone, each of which may keep the connection of its last answer and ask on it again. */
const usualClients = 12;
const clientSeed = 9001;

/** Ends after which no requester tries again. */
function isFinal(how: AttemptRecord['ended']): boolean {
  return how === 'whole' || how === 'unknown_path' || how === 'unknown_key' || how === 'left';
}

/** `keepsConnection` is how often, from 0 to 1, a client asks on the connection that it has. */
export function createVirtualRequesters(
  g: Ground,
  routers: readonly VirtualRouter[],
  keepsConnection: number,
): VirtualRequesters {
  const { engine: e, network: net, random, h, d } = g;
  const misses = new Map<string, number>();
  // Drawn apart, so that other draws of a day are the same whoever keeps connections.
  const drawClient = createSeededRandom(clientSeed);
  const kept = new Map<string, RequesterConnection>();
  const thingTokens = new Map<string, number>();
  let tasks = 0;

  function probe(): void {
    for (const r of routers) {
      const ok = r.ready() && !net.isBlocked('clients', r.name) && !net.isBlocked(r.name, 'clients');
      misses.set(r.name, ok ? 0 : (misses.get(r.name) ?? 2) + 1);
    }
    e.at(e.now() + probeEvery, probe);
  }
  function pick(zone: string): VirtualRouter {
    const here = routers.filter((r) => r.zone === zone);
    const into = here.filter((r) => (misses.get(r.name) ?? 0) < 2);
    const any = routers.filter((r) => (misses.get(r.name) ?? 0) < 2);
    const from = into.length * 2 >= here.length ? into : into.length > 0 || any.length === 0 ? here : any;
    return from[Math.floor(random() * from.length)]!;
  }

  // The connection that the client has kept, or a new one to a router that the platform picks.
  function connectionOf(client: string, zone: string): RequesterConnection {
    const had = kept.get(client);
    if (had !== undefined && had.open && !had.busy && drawClient() < keepsConnection) return had;
    return pick(zone).connect();
  }

  function usualPrompt(k: PassedKind, task: number): Prompt {
    const group = Math.floor(random() * 4);
    const own = Math.round(k.own * (0.5 + random()));
    return {
      promptTokens: k.shared + own,
      answerTokens: k.answer,
      pieces: piecesOf(k.answer, strideOf(k)),
      parts: [
        { id: `${k.name}${group}`, tokens: k.shared },
        { id: `own${task}`, tokens: own },
      ],
    };
  }

  /** A shared part has the same length each time it is met, and some are met more often than others. */
  function drawnPrompt(k: PassedKind, draw: KindDraw, task: number): Prompt {
    const parts = draw.shared.map((shared, n) => {
      const thing = Math.floor(shared.things * random() ** skew);
      const id = `${k.name}.${n}.${thing}`;
      const tokens = thingTokens.get(id) ?? Math.max(1, Math.round(drawLogNormal(shared.tokens, random)));
      thingTokens.set(id, tokens);
      return { id, tokens };
    });
    const own = draw.own.mean === 0 ? 0 : Math.max(1, Math.round(drawLogNormal(draw.own, random)));
    const pieces = Math.max(1, Math.round(drawLogNormal(draw.pieces, random)));
    return {
      promptTokens: parts.reduce((sum, part) => sum + part.tokens, own),
      answerTokens: pieces * strideOf(k),
      pieces,
      parts: own === 0 ? [] : [...parts, { id: `own${task}`, tokens: own }],
    };
  }

  function strideOf(k: PassedKind): number {
    const shape = d.services?.find((each) => each.name === (k.service ?? mainService));
    return (shape?.engine ?? usualEngine(d.kvTokens)).stride;
  }

  function ask(k: PassedKind): void {
    tasks += 1;
    const task = tasks;
    const began = e.now();
    const zone = d.zones[Math.floor(random() * d.zones.length)]!;
    const client = `${zone}/${Math.floor(drawClient() * (d.clientsPerZone ?? usualClients))}`;
    const impatient = random() < 0.1;
    const most = impatient ? 4 : 1 + k.furtherTries;
    const { tenant, key } = g.tenants.credentialsFor(client, k.public === true);
    const keyDigest = key === undefined ? undefined : digestOfKey(key);
    const prompt = k.draw === undefined ? usualPrompt(k, task) : drawnPrompt(k, k.draw, task);
    let tries = 0;
    let has = 0;

    function once(): void {
      tries += 1;
      const id = `q${task}.${tries}`;
      const left = began + k.budget - e.now();
      if (left <= 0) return;
      const connection = tries === 1 ? connectionOf(client, zone) : pick(zone).connect();
      const { router } = connection;
      const lastEvent = k.resumable && has > 0 ? has : undefined;
      const t: AttemptRecord = {
        id,
        task,
        kind: k.name,
        target: targetOf(k.name, task),
        at: e.now(),
        lastEvent,
        streaming: k.streaming,
        resumable: k.resumable,
        repeatable: k.repeatable,
        pieces: prompt.pieces,
        router: router.name,
        readAt: undefined,
        end: undefined,
        ended: 'open',
        why: '',
        firstByteAt: undefined,
        maxGapUs: 0,
        costTokens: prompt.promptTokens + answerWeight * prompt.answerTokens,
        tenant,
        keyDigest,
        body: [],
      };
      h.tries.push(t);
      const q: IncomingRequest = {
        id,
        method: 'POST',
        target: t.target,
        host: hostOf(k.name),
        headers: [],
        ...(key === undefined ? {} : { credentialHeaders: ['Authorization', `Bearer ${key}`], keyDigest }),
        body: k.bodyBytes === undefined ? Buffer.from(`${task}`) : Buffer.alloc(k.bodyBytes),
        promptTokens: prompt.promptTokens,
        maxOutputTokens: prompt.answerTokens,
        promptSegments: prompt.parts,
        timeout: left,
        lastEventId: lastEvent,
      };
      let heardAt = e.now();
      let over = false;
      const way: { leave?: () => void } = {};
      function settle(how: AttemptRecord['ended'], why: string, retryAfter = 0): void {
        if (over) return;
        over = true;
        t.end = e.now();
        t.ended = how;
        t.why = why;
        if (how === 'left') connection.open = false;
        if (connection.open) kept.set(client, connection);
        const rest = began + k.budget - e.now();
        const may = k.repeatable || k.resumable || how === 'refused' || how === 'unread';
        if (how === 'unknown_key' && key !== undefined) g.tenants.recordRefusal(client, key);
        if (isFinal(how) || !may || tries >= most) return;
        if (k.resumable) {
          const ids = [
            ...Buffer.concat(t.body)
              .toString()
              .matchAll(/id: (\d+)\n[^\n]*\n\n/g),
          ].map((m) => Number(m[1]));
          has = Math.max(has, ...ids);
          if (has >= t.pieces) return;
        }
        const wait = impatient ? 0 : Math.min(retryAfter * 1e6 || 50_000 + random() * 100_000, rest / 3);
        e.at(e.now() + wait, once);
      }
      const silence = Math.max(2_000_000, 4 * k.aim, 8 * k.pause);
      function watch(): void {
        if (over) return;
        if (
          t.readAt === undefined &&
          (k.repeatable || k.resumable) &&
          e.now() - t.at >= Math.min(connectPatience, left / 3)
        ) {
          way.leave?.();
          return settle('unread', 'not read in time');
        }
        if (e.now() - heardAt >= silence || e.now() >= began + k.budget) {
          way.leave?.();
          return settle('left', 'silence');
        }
        e.at(e.now() + 250_000, watch);
      }
      // Cut off or without power: the connection does not come up.
      if (net.isBlocked('clients', router.name) || net.isBlocked(router.name, 'clients') || g.silent.has(router.name))
        return e.at(e.now() + Math.min(connectPatience, left / 3), () => settle('unread', 'no connection'));
      if (!router.proc.alive) return e.at(e.now() + 1000, () => settle('unread', 'nobody there'));
      way.leave = router.take(
        t,
        q,
        {
          first: () => {
            heardAt = e.now();
          },
          bytes: (b) => {
            if (over) return;
            if (t.firstByteAt !== undefined) t.maxGapUs = Math.max(t.maxGapUs, e.now() - heardAt);
            heardAt = e.now();
            t.firstByteAt ??= e.now();
            t.body.push(b);
          },
          ended: settle,
        },
        connection,
      );
      watch();
    }
    once();
  }

  const clump = d.clump ?? 1;
  /** Geometric, with `clump` as its mean. */
  function arrivingTogether(): number {
    let count = 1;
    while (clump > 1 && random() < 1 - 1 / clump) count += 1;
    return count;
  }

  const self: VirtualRequesters = {
    crowd: 1,
    begin: (until) => {
      probe();
      for (const k of d.kinds) next(k);
      function next(k: PassedKind): void {
        e.at(e.now() - ((1e6 * clump) / (k.rate * self.crowd)) * Math.log(1 - random()), () => {
          if (e.now() > until) return;
          for (let n = arrivingTogether(); n > 0; n -= 1) ask(k);
          next(k);
        });
      }
    },
  };
  return self;
}
