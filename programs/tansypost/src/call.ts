/**
 * One call to an agent and what its answer means for the exit code: 0 done, 2 bad input, 3 refused, 4 lost the
 * race or superseded, 5 outcome unknown or agent out of reach.
 */
import { request } from 'undici';

export interface Called {
  readonly status: number;
  readonly body: unknown;
}

export async function call(agent: string, method: 'GET' | 'POST', path: string, body?: unknown): Promise<Called> {
  try {
    const r = await request(`http://${agent}${path}`, {
      method,
      headersTimeout: 40_000,
      bodyTimeout: 40_000,
      ...(body === undefined ? {} : { headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) }),
    });
    const text = await r.body.text();
    return { status: r.statusCode, body: text === '' ? null : (JSON.parse(text) as unknown) };
  } catch (e) {
    return {
      status: 0,
      body: {
        error: {
          kind: 'unreachable',
          message: e instanceof Error ? e.message : String(e),
          remedy: `Name a running agent with --agent; ${agent} did not answer.`,
        },
      },
    };
  }
}

export function exitCode(status: number): number {
  if (status >= 200 && status < 300) return 0;
  if (status === 400) return 2;
  if (status === 422 || status === 404) return 3;
  return status === 409 ? 4 : 5;
}
