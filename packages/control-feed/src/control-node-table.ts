/**
 * The control nodes that a router follows, the state from their last heartbeats, and the router's source: the node
 * that sends the configuration itself, while the others only confirm versions. The source is a node that votes and
 * responds. A node with a serving lease is preferred to one without, then one that hasn't been late to one that has,
 * then one in the router's zone to one in its region to others. The source is kept as long as no other node is better
 * by these criteria.
 */
import { hash32, type Address, type MessageOf, type World } from '@tansypost/inner-protocol';

/** What a router knows about one control node. */
export interface ControlNodeState {
  readonly address: Address;
  lastHeartbeatAt: number;
  voting: boolean;
  /** Until when the lease in its last fresh heartbeat counts. */
  leasedUntil: number;
  /** Until when other nodes are preferred as the source, since this one was behind them. */
  lateUntil: number;
  zone: string;
  version: number;
  followerCount: number;
  /** The digest of the worker list last received from this node. */
  list: number;
}

/** Options of the table. */
export interface ControlNodeTableOptions {
  readonly self: Address;
  readonly zone: string;
  /** The region of a zone; without this function each zone is its own region. */
  readonly regionOf?: (zone: string) => string;
  /** How long after its last heartbeat a node can be the source, in microseconds. */
  readonly sourceTimeout: number;
}

/** The control nodes of one router. */
export interface ControlNodeTable {
  readonly state: (address: Address) => ControlNodeState;
  /** Records a heartbeat. `fresh` means that it answers a `Follow` that was sent a short time ago. */
  readonly recordHeartbeat: (heartbeat: MessageOf<'Beat'>, from: Address, fresh: boolean) => void;
  /** Removes all nodes but these. */
  readonly retainOnly: (addresses: ReadonlySet<Address>) => void;
  /** Whether any voting node has sent a heartbeat lately. */
  readonly isInContact: () => boolean;
  /** The voting nodes with a recent heartbeat, in an order that is the same for all routers. */
  readonly voting: () => Address[];
  /** Number of routers as counted by control nodes. */
  readonly followerCount: () => number;
  readonly source: () => Address | undefined;
  /** Chooses the source anew; returns whether it changed. */
  readonly chooseSource: () => boolean;
  /** Records that the source was behind another node for too long. */
  readonly markSourceLate: () => void;
  /** Whether any node holds a serving lease according to its last fresh heartbeat. */
  readonly anyLeased: () => boolean;
}

/** How long after its last heartbeat a node counts as voting. */
const contactTimeoutUs = 2_000_000;
/** How long a node's count of followers is used. */
const followerCountValidityUs = 3_000_000;
/** How long a lease counts after the heartbeat. */
const leaseValidityUs = 1_500_000;
/** How long other nodes are preferred to a late source. */
const latePenaltyUs = 5_000_000;

/** Creates an empty table. */
export function createControlNodeTable(world: Pick<World, 'now'>, options: ControlNodeTableOptions): ControlNodeTable {
  const nodes = new Map<Address, ControlNodeState>();
  let source: Address | undefined;

  function state(address: Address): ControlNodeState {
    let node = nodes.get(address);
    if (node === undefined) {
      node = {
        address,
        lastHeartbeatAt: -Infinity,
        voting: false,
        leasedUntil: -Infinity,
        lateUntil: -Infinity,
        zone: '',
        version: 0,
        followerCount: 0,
        list: 0,
      };
      nodes.set(address, node);
    }
    return node;
  }

  function recordHeartbeat(heartbeat: MessageOf<'Beat'>, from: Address, fresh: boolean): void {
    const node = state(from);
    const now = world.now();
    node.lastHeartbeatAt = now;
    node.voting = heartbeat.voting;
    node.zone = heartbeat.zone;
    node.version = heartbeat.version;
    node.followerCount = heartbeat.followers;
    if (fresh) node.leasedUntil = heartbeat.leased ? now + leaseValidityUs : -Infinity;
  }

  function retainOnly(addresses: ReadonlySet<Address>): void {
    for (const address of nodes.keys()) if (!addresses.has(address)) nodes.delete(address);
  }

  function voting(): Address[] {
    const now = world.now();
    return [...nodes.values()]
      .filter((node) => node.voting && now - node.lastHeartbeatAt < contactTimeoutUs)
      .map((node) => node.address)
      .sort();
  }

  function followerCount(): number {
    const now = world.now();
    const counts = [...nodes.values()]
      .filter((node) => now - node.lastHeartbeatAt < followerCountValidityUs)
      .map((node) => node.followerCount);
    return Math.max(0, ...counts);
  }

  /** Higher is better; undefined if the node can't be the source. */
  function score(node: ControlNodeState): number | undefined {
    const now = world.now();
    if (!node.voting || now - node.lastHeartbeatAt > options.sourceTimeout) return undefined;
    const leased = node.leasedUntil > now ? 8 : 0;
    const onTime = node.lateUntil <= now ? 4 : 0;
    return leased + onTime + proximity(node);
  }

  function proximity(node: ControlNodeState): number {
    if (node.zone === options.zone) return 2;
    const region = options.regionOf?.(options.zone);
    return region !== undefined && node.zone !== '' && options.regionOf?.(node.zone) === region ? 1 : 0;
  }

  /** Distributes routers evenly over nodes with the same score. */
  function weight(node: ControlNodeState): number {
    return hash32(`${options.self}\u0000${node.address}`);
  }

  function isBetter(node: ControlNodeState, other: ControlNodeState | undefined): boolean {
    const [nodeScore, otherScore] = [score(node), other === undefined ? undefined : score(other)];
    if (nodeScore === undefined || otherScore === undefined) return nodeScore !== undefined;
    if (nodeScore !== otherScore) return nodeScore > otherScore;
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
    if (source !== undefined) state(source).lateUntil = world.now() + latePenaltyUs;
  }

  return {
    state,
    recordHeartbeat,
    retainOnly,
    isInContact: () => voting().length > 0,
    voting,
    followerCount,
    source: () => source,
    chooseSource,
    markSourceLate,
    anyLeased: () => [...nodes.values()].some((node) => node.leasedUntil > world.now()),
  };
}
