/** Sends one request over HTTP and checks the response token by token against the expected answer to its prompt. */
import { Agent, request } from 'undici';
import { classifyAnswer } from '@tansypost/worker-stand-in';
import { createAnswerReader, type AnswerEnd } from './answer-reader.js';
import type { TestRequest } from './traffic.js';

/**
 * `refused`: rejected without execution; `given up`: failed, and may have been executed; `cut, and said so`: the stream
 * ended with an error event; `unreachable`: no connection, or it broke; `WRONG`: tokens that do not belong to the answer.
 */
export type OutcomeClass = 'whole' | 'refused' | 'given up' | 'cut, and said so' | 'unreachable' | 'WRONG';
/** The result of one request; `kind` is the error's kind or the reason. */
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

export async function sendRequest(router: string, testRequest: TestRequest, agent: Agent): Promise<Outcome> {
  const startedAt = now();
  let firstTokenAt = 0;
  let text = '';
  function createOutcome(ended: OutcomeClass, kind: string, retryAfter = false): Outcome {
    return {
      request: testRequest,
      router,
      at: startedAt,
      ended,
      kind,
      ttftMs: firstTokenAt === 0 ? 0 : firstTokenAt - startedAt,
      totalMs: now() - startedAt,
      retryAfter,
    };
  }
  try {
    const response = await request(`http://${router}/v1/completions`, {
      method: 'POST',
      dispatcher: agent,
      headers: {
        'content-type': 'application/json',
        'x-request-id': testRequest.id,
        'x-tansypost-tenant': testRequest.tenant,
        'x-tansypost-kind': testRequest.kind,
      },
      body: JSON.stringify({
        model: 'stand-in',
        prompt: testRequest.prompt,
        max_tokens: testRequest.maxTokens,
        stream: true,
      }),
      headersTimeout: testRequest.patienceMs + 15_000,
      bodyTimeout: testRequest.patienceMs + 15_000,
    });
    if (response.statusCode !== 200) {
      const body = (await response.body.json()) as { error?: { kind?: string; ran?: string } };
      const kind = body.error?.kind ?? `status ${response.statusCode}`;
      return createOutcome(
        body.error?.ran === 'no' ? 'refused' : 'given up',
        kind,
        response.headers['retry-after'] !== undefined,
      );
    }
    const reader = createAnswerReader();
    let end: AnswerEnd | undefined;
    for await (const chunk of response.body) {
      end = reader.push(chunk as Buffer);
      text = reader.text();
      if (text !== '' && firstTokenAt === 0) firstTokenAt = now();
      if (end?.tag === 'malformed') return createOutcome('WRONG', end.reason);
    }
    const verdict = classifyAnswer(testRequest.prompt, testRequest.maxTokens, text);
    if (verdict === 'foreign' || verdict === 'overlong') return createOutcome('WRONG', verdict);
    if (end?.tag === 'error') return createOutcome('cut, and said so', end.kind);
    if (end?.tag === 'done') return createOutcome(verdict === 'whole' ? 'whole' : 'WRONG', verdict);
    return createOutcome('unreachable', 'stream ended without a word');
  } catch (error) {
    const verdict = text === '' ? 'cut' : classifyAnswer(testRequest.prompt, testRequest.maxTokens, text);
    return createOutcome(
      verdict === 'foreign' ? 'WRONG' : 'unreachable',
      (error as { code?: string }).code ?? String(error),
    );
  }
}
