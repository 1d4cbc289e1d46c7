/** One request over HTTP, judged token by token against the answer that its prompt must have. */
import { Agent, request } from 'undici';
import { classifyAnswer } from '@tansypost/worker-stand-in';
import type { TestRequest } from './traffic.js';

export type OutcomeClass = 'whole' | 'refused' | 'given up' | 'cut, and said so' | 'unreachable' | 'WRONG';
export interface Outcome {
  readonly request: TestRequest;
  readonly router: string;
  readonly at: number;
  readonly ended: OutcomeClass;
  readonly kind: string;
  readonly ttftMs: number;
  readonly totalMs: number;
  readonly retryAfter: boolean;
}

function now(): number {
  return performance.now();
}

export async function sendRequest(router: string, a: TestRequest, agent: Agent): Promise<Outcome> {
  const from = now();
  let first = 0;
  let text = '';
  function over(ended: OutcomeClass, kind: string, retryAfter = false): Outcome {
    return {
      request: a,
      router,
      at: from,
      ended,
      kind,
      ttftMs: first === 0 ? 0 : first - from,
      totalMs: now() - from,
      retryAfter,
    };
  }
  try {
    const r = await request(`http://${router}/v1/completions`, {
      method: 'POST',
      dispatcher: agent,
      headers: {
        'content-type': 'application/json',
        'x-request-id': a.id,
        'x-tansypost-tenant': a.tenant,
        'x-tansypost-kind': a.kind,
      },
      body: JSON.stringify({ model: 'stand-in', prompt: a.prompt, max_tokens: a.maxTokens, stream: true }),
      headersTimeout: a.patienceMs + 15_000,
      bodyTimeout: a.patienceMs + 15_000,
    });
    if (r.statusCode !== 200) {
      const b = (await r.body.json()) as { error?: { kind?: string; ran?: string } };
      const kind = b.error?.kind ?? `status ${r.statusCode}`;
      return over(b.error?.ran === 'no' ? 'refused' : 'given up', kind, r.headers['retry-after'] !== undefined);
    }
    let held = '';
    const d = new TextDecoder();
    for await (const c of r.body) {
      held += d.decode(c as Buffer, { stream: true });
      for (let i = held.indexOf('\n\n'); i >= 0; i = held.indexOf('\n\n')) {
        const e = held.slice(0, i);
        held = held.slice(i + 2);
        if (e.startsWith('event: error')) {
          const v = classifyAnswer(a.prompt, a.maxTokens, text);
          const f = JSON.parse(e.slice(e.indexOf('data: ') + 6)) as { error: { kind: string } };
          return v === 'foreign' || v === 'overlong' ? over('WRONG', v) : over('cut, and said so', f.error.kind);
        }
        if (e === 'data: [DONE]') {
          const v = classifyAnswer(a.prompt, a.maxTokens, text);
          return v === 'whole' ? over('whole', 'whole') : over('WRONG', v);
        }
        const t = (JSON.parse(e.slice(6)) as { choices: { text: string }[] }).choices[0]!.text;
        if (t !== '' && first === 0) first = now();
        text += t;
      }
    }
    return over(
      classifyAnswer(a.prompt, a.maxTokens, text) === 'foreign' ? 'WRONG' : 'unreachable',
      'stream ended without a word',
    );
  } catch (e) {
    const v = text === '' ? 'cut' : classifyAnswer(a.prompt, a.maxTokens, text);
    return over(v === 'foreign' ? 'WRONG' : 'unreachable', (e as { code?: string }).code ?? String(e));
  }
}
