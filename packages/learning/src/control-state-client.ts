/** What is asked of the core, by whoever learns, and what comes back. */
import type { MessageOf } from '@tansypost/inner-protocol';

export type ControlStateStatus = 'done' | 'lost' | 'reused' | 'value' | 'none' | 'unknown';
export interface ControlStateResponse {
  readonly status: ControlStateStatus;
  readonly epoch: number;
  readonly version: number;
  readonly value: Buffer;
}
export interface ControlStateRequest {
  readonly op: 'read' | 'write' | 'lookup' | 'claim';
  readonly key: string;
  readonly change?: string;
  readonly base?: number;
  readonly value?: Buffer;
  readonly timeoutUs: number;
}
export interface ControlStateClient {
  readonly request: (r: ControlStateRequest) => Promise<ControlStateResponse>;
  readonly handleAnswer: (m: MessageOf<'Answer'>) => void;
}
