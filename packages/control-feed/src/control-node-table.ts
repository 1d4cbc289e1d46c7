/**
 * The control nodes that a router follows, what their last beats said, and which of them is its source: the one that
 * sends the configuration itself, while the others only confirm versions. The source is a node that votes and answers;
 * one with a serving lease before one without, one that has not been late before one that has, one of the router's
 * own zone before one of its region before others. It is kept as long as no other is better in these terms.
 */
import { hash32, type Address, type MessageOf, type World } from '@tansypost/inner-protocol';

/** What a router knows of one control node. */
export interface ControlNodeState {
  readonly address: Address;
  lastBeatAt: number;
  voting: boolean;
  /** Until when its last fresh beat with a serving lease counts. */
  leasedUntil: number;
  /** Until when it is passed over, as it was behind the others. */
  lateUntil: number;
  zone: string;
  version: number;
  followerCount: number;
  /** The digest of the worker list as this node last told it. */
  list: number;
}

export interface ControlNodeTableOptions {
  readonly self: Address;
  readonly zone: string;
  /** The region of a zone; without it each zone is a region of its own. */
  readonly regionOf?: (zone: string) => string;
  /** How long a source may be silent, in microseconds. */
  readonly sourceTimeout: number;
}

export interface ControlNodeTable {
  readonly state: (address: Address) => ControlNodeState;
  /** Takes in a beat. `fresh` says that it answers a question asked a short time ago. */
  readonly recordBeat: (beat: MessageOf<'Beat'>, from: Address, fresh: boolean) => void;
  /** Drops all but these. */
  readonly retainOnly: (addresses: ReadonlySet<Address>) => void;
  readonly isInContact: () => boolean;
  /** The voting nodes heard lately, in an order that is the same for all routers. */
  readonly voting: () => Address[];
  readonly followerCount: () => number;
  readonly source: () => Address | undefined;
  /** Chooses the source anew and says whether it is another one than before. */
  readonly chooseSource: () => boolean;
  /** The source was behind another node for too long. */
  readonly markSourceLate: () => void;
  /** Whether some node with a serving lease has been heard lately. */
  readonly anyLeased: () => boolean;
}

const silence = 2_000_000;
const followersCountFor = 3_000_000;
const leasedFor = 1_500_000;
const lateFor = 5_000_000;

export function createControlNodeTable(world: Pick<World, 'now'>, options: ControlNodeTableOptions): ControlNodeTable {
  const nodes = new Map<Address, ControlNodeState>();
  let source: Address | undefined;

  function state(address: Address): ControlNodeState {
    let known = nodes.get(address);
    if (known === undefined) {
      known = {
        address,
        lastBeatAt: -Infinity,
        voting: false,
        leasedUntil: -Infinity,
        lateUntil: -Infinity,
        zone: '',
        version: 0,
        followerCount: 0,
        list: 0,
      };
      nodes.set(address, known);
    }
    return known;
  }

  function heard(beat: MessageOf<'Beat'>, from: Address, fresh: boolean): void {
    const node = state(from);
    const now = world.now();
    node.lastBeatAt = now;
    node.voting = beat.voting;
    node.zone = beat.zone;
    node.version = beat.version;
    node.followerCount = beat.followers;
    if (fresh) node.leasedUntil = beat.leased ? now + leasedFor : -Infinity;
  }

  function keepOnly(addresses: ReadonlySet<Address>): void {
    for (const address of nodes.keys()) if (!addresses.has(address)) nodes.delete(address);
  }

  function voting(): Address[] {
    const now = world.now();
    return [...nodes.values()]
      .filter((node) => node.voting && now - node.lastBeatAt < silence)
      .map((node) => node.address)
      .sort();
  }

  function followers(): number {
    const now = world.now();
    const counts = [...nodes.values()]
      .filter((n) => now - n.lastBeatAt < followersCountFor)
      .map((n) => n.followerCount);
    return Math.max(0, ...counts);
  }

  /** Higher is better; undefined where the node cannot be the source. */
  function grade(node: ControlNodeState): number | undefined {
    const now = world.now();
    if (!node.voting || now - node.lastBeatAt > options.sourceTimeout) return undefined;
    const leased = node.leasedUntil > now ? 8 : 0;
    const punctual = node.lateUntil <= now ? 4 : 0;
    return leased + punctual + nearness(node);
  }

  function nearness(node: ControlNodeState): number {
    if (node.zone === options.zone) return 2;
    const region = options.regionOf?.(options.zone);
    return region !== undefined && node.zone !== '' && options.regionOf?.(node.zone) === region ? 1 : 0;
  }

  /** Spreads routers evenly over nodes of the same grade. */
  function weight(node: ControlNodeState): number {
    return hash32(`${options.self}\u0000${node.address}`);
  }

  function isBetter(node: ControlNodeState, other: ControlNodeState | undefined): boolean {
    const [mine, theirs] = [grade(node), other === undefined ? undefined : grade(other)];
    if (mine === undefined || theirs === undefined) return mine !== undefined;
    if (mine !== theirs) return mine > theirs;
    if (other!.address === source) return false;
    return node.address === source || weight(node) > weight(other!);
  }

  function chooseSource(): boolean {
    let best: ControlNodeState | undefined;
    for (const node of nodes.values()) if (isBetter(node, best)) best = node;
    const changed = best?.address !== source;
    source = best?.address;
    return changed;
  }

  function markSourceLate(): void {
    if (source !== undefined) state(source).lateUntil = world.now() + lateFor;
  }

  return {
    state,
    recordBeat: heard,
    retainOnly: keepOnly,
    isInContact: () => voting().length > 0,
    voting,
    followerCount: followers,
    source: () => source,
    chooseSource,
    markSourceLate,
    anyLeased: () => [...nodes.values()].some((node) => node.leasedUntil > world.now()),
  };
}
