/** What is asked of the core, by whoever learns, and what comes back. */
import type { MessageOf } from '@tansypost/inner-protocol';

export type AskStatus = 'done' | 'lost' | 'reused' | 'value' | 'none' | 'unknown';
export interface AskResult {
  readonly status: AskStatus;
  readonly epoch: number;
  readonly version: number;
  readonly value: Buffer;
}
export interface AskRequest {
  readonly op: 'read' | 'write' | 'lookup' | 'claim';
  readonly key: string;
  readonly change?: string;
  readonly base?: number;
  readonly value?: Buffer;
  readonly patience: number;
}
export interface Asker {
  readonly ask: (r: AskRequest) => Promise<AskResult>;
  readonly answer: (m: MessageOf<'Answer'>) => void;
}
