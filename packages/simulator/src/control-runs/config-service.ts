/**
 * The operators' calls on the configuration as the machines of the core serve them. The programs of a platform have
 * their own form of them and of the configuration's text; a run takes either.
 */
import { configurationKey, type ControlResponse, type ControlRequest } from '@tansypost/control-feed';
import { submit, tableOf, type SubmitAnswer } from '../pass-through/submit.js';

/** How a served call reaches the core, and the clock it goes by. */
export interface ServiceWorld {
  readonly ask: (q: ControlRequest) => Promise<ControlResponse>;
  readonly now: () => number;
}

/** What a read of the configuration was answered with. */
export interface ReadResult {
  readonly code: number;
  readonly text: string;
}

export interface ConfigService {
  /** Gives the status of the answer to an order on the revision `base`. */
  readonly put: (w: ServiceWorld, text: string, base: number) => Promise<number>;
  readonly get: (w: ServiceWorld) => Promise<ReadResult>;
  /** A proper configuration of that revision; configurations with different labels differ. */
  readonly renderConfiguration: (revision: number, label: string) => string;
}

const readPatience = 850_000;
const codes: Record<SubmitAnswer, number> = { taken: 200, refused: 412, 'not now': 503 };

async function read(w: ServiceWorld): Promise<ReadResult> {
  const a = await w.ask({ op: 'read', key: configurationKey, deadline: w.now() + readPatience });
  return a.status === 'value' && a.version > 0 ? { code: 200, text: a.value.toString() } : { code: 503, text: '' };
}

/** The calls as the simulated machines serve them: any text that states a revision is a proper configuration. */
export const simulatedConfigService: ConfigService = {
  put: async (w, text, base) => codes[await submit({ ...w, blind: true }, text, base)],
  get: read,
  renderConfiguration: (revision, label) => JSON.stringify({ revision, label }),
};

/** The revision that a configuration states. */
export function parseRevision(text: string): number {
  return tableOf(text)?.revision ?? 0;
}
