/** The requests to the control state that learning needs, and their responses. */
import type { MessageOf } from '@tansypost/inner-protocol';

/** Result of a request; `unknown` where no response came in time. */
export type ControlStateStatus = 'done' | 'lost' | 'reused' | 'value' | 'none' | 'unknown';
/** A response: the result, and the key's value with its version and the term of the leader that wrote it. */
export interface ControlStateResponse {
  readonly status: ControlStateStatus;
  readonly epoch: number;
  readonly version: number;
  readonly value: Buffer;
}
/** A request for one key. All fields but `timeoutUs` are those of the `Ask` message. */
export interface ControlStateRequest {
  readonly op: 'read' | 'write' | 'lookup' | 'claim';
  readonly key: string;
  /** Id of the change, of a write or of the write that is looked up. */
  readonly change?: string;
  /** The version that a write expects to replace. */
  readonly base?: number;
  readonly value?: Buffer;
  readonly timeoutUs: number;
}
/** Sends requests to the control cluster. */
export interface ControlStateClient {
  readonly request: (request: ControlStateRequest) => Promise<ControlStateResponse>;
  /** Takes the answer to a request. */
  readonly handleAnswer: (message: MessageOf<'Answer'>) => void;
}
