/**
 * The choices of the scheduler beside the default order. Each fault carries its own end, so that one move is one
 * whole disturbance and a list of moves can be thinned out without leaving a fault that never ends.
 */
import type { Partition } from './process.js';

/** Something done to one pending event. */
export type EventMove =
  /** Runs it before its planned time. */
  | { readonly kind: 'run'; readonly event: string }
  | { readonly kind: 'lose'; readonly event: string }
  | { readonly kind: 'double'; readonly event: string }
  | { readonly kind: 'delay'; readonly event: string; readonly forUs: number };

/** A fault of machines, links or disks, or a planned change of who is there. */
export type Fault =
  /** A process ends, `kept` of its unsynced writes survive, and it starts again. */
  | { readonly kind: 'crash'; readonly machine: string; readonly kept: number; readonly forUs: number }
  /** All machines lose power at once. */
  | { readonly kind: 'power'; readonly kept: number; readonly forUs: number }
  /** A machine comes back with an empty disk. */
  | { readonly kind: 'wipe'; readonly machine: string; readonly forUs: number }
  | { readonly kind: 'cut'; readonly cut: Partition; readonly forUs: number }
  /** A process stops while its clock goes on and what is sent to it waits. */
  | { readonly kind: 'freeze'; readonly machine: string; readonly forUs: number }
  /** A machine hands over, ends and never comes back; a spare asks for its place. */
  | { readonly kind: 'leave'; readonly machine: string; readonly spare: string }
  /** A spare machine starts and asks for a place. */
  | { readonly kind: 'join'; readonly spare: string }
  | { readonly kind: 'restart-follower'; readonly follower: string };

/** One choice of the scheduler. */
export type Move = EventMove | Fault;

/** The name of a kind of move. */
export type MoveKind = Move['kind'];

/** Whether a move is done to one pending event. */
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
      return `${move.event} comes twice`;
    case 'delay':
      return `${move.event} is late by ${seconds(move.forUs)}`;
  }
}

function describeFault(fault: Fault): string {
  switch (fault.kind) {
    case 'crash':
      return `${fault.machine} crashes, ${fault.kept} unsynced writes survive, back after ${seconds(fault.forUs)}`;
    case 'power':
      return `all lose power, ${fault.kept} unsynced writes survive on each, back after ${seconds(fault.forUs)}`;
    case 'wipe':
      return `${fault.machine} loses its disk, back after ${seconds(fault.forUs)}`;
    case 'cut':
      return describeCut(fault.cut, fault.forUs);
    case 'freeze':
      return `${fault.machine} freezes for ${seconds(fault.forUs)}`;
    case 'leave':
      return `${fault.machine} leaves, ${fault.spare} asks for a place`;
    case 'join':
      return `${fault.spare} asks for a place`;
    case 'restart-follower':
      return `${fault.follower} restarts`;
  }
}

function describeCut(cut: Partition, forUs: number): string {
  return `${cut.group.join()} cut off (${cut.way}, ${cut.holds ? 'held' : 'lost'}) for ${seconds(forUs)}`;
}

/** One line for a person. */
export function describeMove(move: Move): string {
  return isEventMove(move) ? describeEventMove(move) : describeFault(move);
}
