/** What the soak must be told of a program under test: how it is started, spoken to and answered. It decides nothing. */
import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';

/** `router` serves requests, `control` holds control state, `both` does both in one process. */
export type SoakRole = 'router' | 'control' | 'both';

/** One machine of a soak: a process at an address of its own on loopback. */
export interface SoakMachine {
  readonly name: string;
  readonly role: SoakRole;
  readonly ip: string;
}

/** What the settings of a machine depend on. */
export interface SoakSettingsContext {
  /** The machines that its settings name as seeds. */
  readonly seeds: readonly SoakMachine[];
  /** Whether this is the first start of the whole fleet. */
  readonly isFirstStart: boolean;
  /** Where the list of workers is answered, an IP number. */
  readonly platformIp: string;
  readonly dataFolder: string;
}

/** A call to a machine. */
export interface SoakCall {
  readonly port: number;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

export interface SoakAdapter {
  /** The time between SIGTERM and the end by force that the settings state, in milliseconds. */
  readonly graceMs: number;
  readonly ports: { readonly list: number; readonly worker: number };
  readonly command: (machine: SoakMachine) => { readonly file: string; readonly args: readonly string[] };
  readonly environment: (settingsFile: string) => Readonly<Record<string, string>>;
  readonly settings: (machine: SoakMachine, surroundings: SoakSettingsContext) => string;
  readonly readiness: SoakCall;
  /** A request of a client; `revision` names the configuration whose route it takes. */
  readonly request: (id: string, revision: number) => SoakCall;
  /** The order to take the configuration of this revision, made on top of `base` (0 for the first). */
  readonly change: (revision: number, base: number) => SoakCall;
  readonly read: SoakCall;
  readonly revisionOf: (configuration: string) => number;
  readonly workerListBody: (ips: readonly string[]) => string;
  readonly workerLoadBody: string;
  /** The id of a request as a worker sees it; undefined where the call is no request. */
  readonly requestIdOf: (headers: IncomingHttpHeaders) => string | undefined;
  readonly workerHeaders: (id: string) => OutgoingHttpHeaders;
  /** The pieces of a worker's answer. */
  readonly chunks: readonly string[];
}
