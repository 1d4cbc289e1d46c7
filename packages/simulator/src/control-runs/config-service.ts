/**
 * The operators' configuration API as the control machines serve it. Platform programs have their own form of the API
 * and of the configuration text; a run works with any implementation of `ConfigService`.
 */
import { configurationKey, type ControlResponse, type ControlRequest } from '@tansypost/control-feed';
import { submit, parseRouteTable, type SubmitAnswer } from '../pass-through/submit.js';

/** Access of an API server to the control cluster, and its clock. */
export interface ServiceWorld {
  readonly ask: (request: ControlRequest) => Promise<ControlResponse>;
  readonly now: () => number;
}

/** The status and text of the response to a read of the configuration. */
export interface ReadResult {
  readonly code: number;
  readonly text: string;
}

export interface ConfigService {
  /** Submits an update that replaces the revision `base`; returns the response status. */
  readonly put: (world: ServiceWorld, text: string, base: number) => Promise<number>;
  readonly get: (world: ServiceWorld) => Promise<ReadResult>;
  /** Returns a valid configuration with this revision; configurations with different labels differ. */
  readonly renderConfiguration: (revision: number, label: string) => string;
}

const readTimeoutUs = 850_000;
const statusCodes: Record<SubmitAnswer, number> = { taken: 200, refused: 412, 'not now': 503 };

async function read(world: ServiceWorld): Promise<ReadResult> {
  const response = await world.ask({ op: 'read', key: configurationKey, deadline: world.now() + readTimeoutUs });
  return response.status === 'value' && response.version > 0
    ? { code: 200, text: response.value.toString() }
    : { code: 503, text: '' };
}

/** The API of the simulated machines, which accept any text that states a revision as a valid configuration. */
export const simulatedConfigService: ConfigService = {
  put: async (world, text, base) => statusCodes[await submit({ ...world, blind: true }, text, base)],
  get: read,
  renderConfiguration: (revision, label) => JSON.stringify({ revision, label }),
};

/** Returns the revision that a configuration text states, 0 where it states none. */
export function parseRevision(text: string): number {
  return parseRouteTable(text)?.revision ?? 0;
}
