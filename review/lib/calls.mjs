/** HTTP calls of the stand-ins (clients and the operator), and a record of what happened. */
import http from 'node:http';
import { appendFileSync, writeFileSync } from 'node:fs';

/** Resolves after `ms` milliseconds. */
export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Appends lines with the time since the start to a file. */
export function createRecord(file) {
  const startedAt = process.hrtime.bigint();
  writeFileSync(file, '');
  return function record(line) {
    const seconds = Number((process.hrtime.bigint() - startedAt) / 1_000_000n) / 1000;
    appendFileSync(file, `${seconds.toFixed(3)} ${line}\n`);
  };
}

/** One call on a new connection; resolves to its end: a complete answer, or why there is none. */
export function call({ host, port, method = 'GET', path, headers = {}, body, timeoutMs = 1000 }) {
  return new Promise((resolve) => {
    let status;
    let head = {};
    const chunks = [];
    let settled = false;
    function settle(end) {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      resolve({ end, status, headers: head, body: Buffer.concat(chunks).toString() });
    }
    const length = body === undefined ? {} : { 'content-length': Buffer.byteLength(body) };
    const request = http.request({ host, port, method, path, headers: { ...headers, ...length }, agent: false });
    const timer = setTimeout(() => {
      settle('no answer in time');
      request.destroy();
    }, timeoutMs);
    request.on('response', (response) => {
      status = response.statusCode;
      head = response.headers;
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('end', () => settle(response.complete ? 'whole' : 'cut'));
      response.on('error', () => settle('cut'));
      response.on('close', () => settle('cut'));
    });
    request.on('error', (error) => settle(status === undefined ? `no answer: ${error.code}` : 'cut'));
    request.end(body);
  });
}

/** Sends a configuration as an operator does, to one control node after the other, until it is acknowledged. */
export async function putConfiguration(controls, configuration, base, record, tries = 40) {
  const body = JSON.stringify(configuration);
  for (let attempt = 0; attempt < tries; attempt += 1) {
    const control = controls[attempt % controls.length];
    const answer = await call({
      ...control,
      method: 'PUT',
      path: '/config',
      headers: { 'content-type': 'application/json', 'if-match': `${base}` },
      body,
    });
    if (answer.status === 200) {
      record(`operator: revision ${configuration.revision} acknowledged by ${control.host}`);
      return true;
    }
    await sleep(300);
  }
  return false;
}
