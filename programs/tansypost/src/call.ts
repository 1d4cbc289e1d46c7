/**
 * One HTTP call to a daemon, and the exit code that its response status maps to: 0 success, 2 invalid input,
 * 3 rejected or not found, 4 version conflict or superseded, 5 outcome unknown or daemon unreachable.
 */
import { request } from 'undici';

/** A response; status 0 stands for a call that got no valid response. */
export interface CallResult {
  readonly status: number;
  readonly body: unknown;
}

export async function call(agent: string, method: 'GET' | 'POST', path: string, body?: unknown): Promise<CallResult> {
  try {
    const response = await request(`http://${agent}${path}`, {
      method,
      headersTimeout: 40_000,
      bodyTimeout: 40_000,
      ...(body === undefined ? {} : { headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) }),
    });
    const text = await response.body.text();
    return { status: response.statusCode, body: text === '' ? null : (JSON.parse(text) as unknown) };
  } catch (error) {
    return {
      status: 0,
      body: {
        error: {
          kind: 'unreachable',
          message: error instanceof Error ? error.message : String(error),
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
