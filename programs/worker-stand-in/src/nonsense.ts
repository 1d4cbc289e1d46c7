/** Bytes that are no event of a completion, which a faulty worker writes into its stream. */
import { hash32 } from '@tansypost/inner-protocol';

const kinds: readonly string[] = [
  'garbage\n\n',
  '\n',
  ': comment\n\n',
  'data: {"x"\n\n',
  'data: {}\n\n',
  '\u0000\u00ff\u0001',
  'HTTP/1.1 200 OK\r\n\r\n',
];

/** The nonsense in the response to this request; the same each time. */
export function nonsenseFor(request: string): Buffer {
  return Buffer.from(kinds[hash32(request) % kinds.length]!, 'latin1');
}
