/**
 * Reads the event stream of a completion as a client does, and judges each byte of it: every event must have a known form,
 * and nothing may follow the last one.
 */
import { createEventStreamParser, type EventVisitor } from '@tansypost/event-stream';

/** How the stream ended: after [DONE], with an error event of this kind, or with bytes that are no event of a completion. */
export type AnswerEnd =
  | { readonly tag: 'done' }
  | { readonly tag: 'error'; readonly kind: string }
  | { readonly tag: 'malformed'; readonly reason: string };

/** Reads one answer. */
export interface AnswerReader {
  /** Adds bytes; returns the end of the stream once it has come. */
  readonly push: (bytes: Buffer) => AnswerEnd | undefined;
  /** The text so far. */
  readonly text: () => string;
}

interface NamedEvent {
  readonly name: string | undefined;
  readonly data: string;
}

const endMark = '[DONE]';

function collectEvents(events: NamedEvent[]): EventVisitor {
  let name: string | undefined;
  let data: string | undefined;
  return {
    fieldNames: ['event', 'data'],
    field: (field, value, index) => {
      if (field === 'event') {
        name = value.toString();
        return index === 0 ? undefined : 'invalid field';
      }
      if (data !== undefined) return 'invalid field';
      data = value.toString();
      return undefined;
    },
    event: () => {
      if (data === undefined) return 'event without data';
      events.push({ name, data });
      [name, data] = [undefined, undefined];
      return 'drop';
    },
  };
}

function malformed(reason: string): AnswerEnd {
  return { tag: 'malformed', reason };
}

function parseData(data: string): unknown {
  try {
    return JSON.parse(data);
  } catch {
    return undefined;
  }
}

function errorOf({ data }: NamedEvent): AnswerEnd {
  const kind = (parseData(data) as { error?: { kind?: unknown } } | undefined)?.error?.kind;
  return typeof kind === 'string' ? { tag: 'error', kind } : malformed('error event without a kind');
}

function textOf({ data }: NamedEvent): string | undefined {
  const text = (parseData(data) as { choices?: { text?: unknown }[] } | undefined)?.choices?.[0]?.text;
  return typeof text === 'string' ? text : undefined;
}

/** Creates a reader at the beginning of an answer. */
export function createAnswerReader(): AnswerReader {
  const events: NamedEvent[] = [];
  const parser = createEventStreamParser(collectEvents(events));
  let text = '';
  let end: AnswerEnd | undefined;

  function readEvent(event: NamedEvent): void {
    if (end !== undefined) end = malformed('an event after the end');
    else if (event.name === 'error') end = errorOf(event);
    else if (event.name !== undefined) end = malformed('an event of another name');
    else if (event.data === endMark) end = { tag: 'done' };
    else {
      const part = textOf(event);
      if (part === undefined) end = malformed('an event without text');
      else text += part;
    }
  }

  return {
    push: (bytes) => {
      const { fault } = parser.push(bytes);
      for (const event of events.splice(0)) readEvent(event);
      if (fault !== undefined) end = malformed(fault);
      else if (end !== undefined && parser.isInsideEvent()) end = malformed('bytes after the end');
      return end;
    },
    text: () => text,
  };
}
