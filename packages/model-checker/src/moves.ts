/**
 * Moves: the scheduler's deviations from the default order of events. Each fault includes its own end, so moves can be
 * removed from a list without leaving a fault that never ends.
 */
import type { Partition } from './process.js';

/** A move on one pending event. */
export type EventMove =
  /** Runs the event before its planned time. */
  | { readonly kind: 'run'; readonly event: string }
  | { readonly kind: 'lose'; readonly event: string }
  | { readonly kind: 'double'; readonly event: string }
  | { readonly kind: 'delay'; readonly event: string; readonly forUs: number };

/** A fault of machines, links or disks, or a planned membership change. */
export type Fault =
  /** A process crashes, its first `kept` unsynced writes survive, and it restarts. */
  | { readonly kind: 'crash'; readonly machine: string; readonly kept: number; readonly forUs: number }
  /** All machines lose power at once and restart. */
  | { readonly kind: 'power'; readonly kept: number; readonly forUs: number }
  /** A machine restarts with an empty disk. */
  | { readonly kind: 'wipe'; readonly machine: string; readonly forUs: number }
  | { readonly kind: 'cut'; readonly cut: Partition; readonly forUs: number }
  /** A process is paused; its clock goes on and messages to it wait. */
  | { readonly kind: 'freeze'; readonly machine: string; readonly forUs: number }
  /** A machine leaves gracefully, for good unless its disk is still needed; a spare asks to join in its place. */
  | { readonly kind: 'leave'; readonly machine: string; readonly spare: string }
  /** A machine and its disk are lost for good; a spare with an empty disk starts and asks to join in its place. */
  | { readonly kind: 'replace'; readonly machine: string; readonly spare: string }
  /** A spare machine starts and asks to join. */
  | { readonly kind: 'join'; readonly spare: string }
  | { readonly kind: 'restart-follower'; readonly follower: string };

/** One deviation from the default order. */
export type Move = EventMove | Fault;

/** The kind of a move. */
export type MoveKind = Move['kind'];

/** Whether a move acts on one pending event. */
export function isEventMove(move: Move): move is EventMove {
  return 'event' in move;
}

function seconds(micros: number): string {
  return `${(micros / 1e6).toFixed(3)} s`;
}

function describeEventMove(move: EventMove): string {
  switch (move.kind) {
    case 'run':
      return `${move.event} runs first`;
    case 'lose':
      return `${move.event} is lost`;
    case 'double':
      return `${move.event} is duplicated`;
    case 'delay':
      return `${move.event} is delayed by ${seconds(move.forUs)}`;
  }
}

function describeFault(fault: Fault): string {
  switch (fault.kind) {
    case 'crash':
      return `${fault.machine} crashes, ${fault.kept} unsynced writes survive, restarts after ${seconds(fault.forUs)}`;
    case 'power':
      return `all machines lose power, ${fault.kept} unsynced writes survive on each, restart after ${seconds(fault.forUs)}`;
    case 'wipe':
      return `${fault.machine} loses its disk, restarts after ${seconds(fault.forUs)}`;
    case 'cut':
      return describePartition(fault.cut, fault.forUs);
    case 'freeze':
      return `${fault.machine} freezes for ${seconds(fault.forUs)}`;
    case 'leave':
      return `${fault.machine} leaves, ${fault.spare} asks to join`;
    case 'replace':
      return `${fault.machine} is lost for good, ${fault.spare} asks to join in its place`;
    case 'join':
      return `${fault.spare} asks to join`;
    case 'restart-follower':
      return `${fault.follower} restarts`;
  }
}

function describePartition(partition: Partition, forUs: number): string {
  return `${partition.group.join()} partitioned (${partition.way}, ${partition.holds ? 'held' : 'lost'}) for ${seconds(forUs)}`;
}

/** A one-line description for reports. */
export function describeMove(move: Move): string {
  return isEventMove(move) ? describeEventMove(move) : describeFault(move);
}
