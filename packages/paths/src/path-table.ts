// What operators state about traffic that is passed on as it comes: which requests there are (a host and a
// prefix), what each kind is worth and how patient it is, which service runs it, and what the services are.
// A path is to such traffic what a template's kind is to completions: its rank orders worth, its budget is the
// patience, its shares split it over services. Times are whole microseconds, sizes bytes.

export interface ServiceShare {
  readonly service: string;
  readonly weight: number;
}
export interface Path {
  readonly name: string;
  readonly host: string;
  // Begins and ends with a slash.
  readonly prefix: string;
  // The longest that a request is held, and the time within which its first bytes are worth most.
  readonly budget: number;
  readonly aim: number;
  // The longest pause between events of a stream that is still in time; 0 where the answer is not a stream.
  readonly pause: number;
  // 0 goes first.
  readonly rank: number;
  readonly streaming: boolean;
  // May run more than once.
  readonly repeatable: boolean;
  // A stream that broke may be taken up by another worker.
  readonly resumable: boolean;
  // The largest number of workers that one request may go to.
  readonly sends: number;
  readonly shares: readonly ServiceShare[];
}
export interface Service {
  readonly name: string;
  readonly vitalsPath: string;
  readonly connections: number;
  readonly slots: number;
  readonly kvTokens: number;
  readonly tokenBytes: number;
  readonly linkMbps: number;
  readonly handleTtl: number;
  readonly switchTime: number;
}
export interface RequesterLimits {
  readonly headBytes: number;
  readonly bodyBytes: number;
  readonly headTime: number;
  readonly idleTime: number;
}
export interface PathTable {
  readonly revision: number;
  readonly paths: readonly Path[];
  readonly services: readonly Service[];
  readonly limits: RequesterLimits;
}
