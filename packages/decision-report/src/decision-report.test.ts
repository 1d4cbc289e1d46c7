/** Logs and reports are parsed, tabulated and plotted. */
import { expect, it } from 'vitest';
import * as E from 'fp-ts/lib/Either.js';
import { plotMissedRequests } from './missed-requests-plot.js';
import { groupMissedRequests, countCausesBySecond, sizeRange } from './missed-requests-table.js';
import { parseMissedRequests } from './parse-missed-requests.js';
import { parseRunReport } from './parse-run-report.js';
import { renderMissedRequests, renderRunReport } from './render.js';

function fields(overrides: Record<string, unknown> = {}): string {
  const event = {
    request: 'q1',
    path: 'chat',
    service: 's',
    outcome: 'late first piece',
    cause: 'prefillQueue',
    prompt: 900,
    shared: 200,
    firstMs: 700,
    endMs: 900,
    aimMs: 500,
    parts: { prefillQueue: 500 },
    reads: 1,
    sends: 1,
    workers: ['i-1', 'i-2'],
  };
  return JSON.stringify({ ...event, ...overrides });
}
function line(overrides: Record<string, unknown> = {}, clock = 2_500_000): string {
  return `${clock} E5109 info router edge-1 request did not end in time {x ${fields(overrides)}`.replace('{x ', '');
}
const started = '100 E1001 info router edge-1 program started {"front":"10.0.0.1:80"}';

it('takes the time of a missed request from the router, or from the collector of the log', () => {
  const log = parseMissedRequests([started, 'some other line', line(), `  7.25 edge-1 ${line()}`].join('\n'), 'a.log');
  expect(log).toMatchObject({ right: { damagedLines: 0 } });
  if (E.isLeft(log)) throw log.left;
  expect(log.right.missed.map((request) => [request.second, request.router, request.cause])).toEqual([
    [2.5, 'edge-1', 'prefillQueue'],
    [7.25, 'edge-1', 'prefillQueue'],
  ]);
});

it('skips a truncated line, and rejects a log that contains no events or has many damaged lines', () => {
  const cut = line().slice(0, -20);
  expect(parseMissedRequests([started, line(), cut].join('\n'), 'a.log')).toMatchObject({ right: { damagedLines: 1 } });
  expect(parseMissedRequests('nothing here', 'a.log')).toMatchObject({
    left: { message: 'a.log contains no events. Provide the log output of routers.' },
  });
  expect(parseMissedRequests([started, cut, cut, cut, cut].join('\n'), 'a.log')).toMatchObject({
    left: { message: 'a.log has 4 damaged lines of missed requests. Provide the complete log.' },
  });
});

it('counts by cause, by prompt size and by second', () => {
  const text = [started, line(), line({ prompt: 40_000, cause: 'size' }, 3_100_000), line({}, 2_900_000)].join('\n');
  const log = parseMissedRequests(text, 'a.log');
  if (E.isLeft(log)) throw log.left;
  const { missed } = log.right;
  expect(groupMissedRequests(missed, (request) => [request.cause])).toEqual([
    { key: ['prefillQueue'], count: 2, meanExcessMs: 200, meanPromptTokens: 900 },
    { key: ['size'], count: 1, meanExcessMs: 200, meanPromptTokens: 40_000 },
  ]);
  expect([...countCausesBySecond(missed)].map(([second, causes]) => [second, [...causes]])).toEqual([
    [2, [['prefillQueue', 2]]],
    [3, [['size', 1]]],
  ]);
  expect([0, 511, 512, 9000, 99_999].map(sizeRange)).toEqual(['0-511', '0-511', '512-2047', '8192-16383', '32768+']);
  expect(renderMissedRequests(log.right)).toContain('| chat | prefillQueue | apart | 2 | 200 | 900 |');
  const svg = plotMissedRequests(missed, 'A day');
  expect(svg).toMatch(/^<svg[\s\S]*<\/svg>$/);
  for (const text of ['A day', 'prefillQueue', 'size', 'second']) expect(svg).toContain(text);
});

const report = {
  classes: [{ name: 'chat', n: 10, in_aim: 8, late: 1, refused: 0, failed: 1, worth: 0.85 }],
  prices: [
    ['memory', 12, 0.03],
    ['orders', 0, 0],
  ],
  parts: [['whole day', 0.4, 0.85]],
};

it('parses the report of a run, and says what is wrong with one that it cannot use', () => {
  const run = parseRunReport(JSON.stringify(report), 'r.json');
  if (E.isLeft(run)) throw run.left;
  const text = renderRunReport(run.right);
  expect(text).toContain('| chat | 10 | 8 | 1 | 0 | 1 | 0.850 |');
  expect(text).toContain('| memory | 12.0 | 0.0300 |');
  expect(text).not.toContain('orders');
  expect(parseRunReport(JSON.stringify(report).slice(0, -9), 'r.json')).toMatchObject({
    left: {
      message: 'r.json cannot be parsed as a report: it is not JSON or is truncated. Provide the complete file.',
    },
  });
  expect(parseRunReport('{"classes": []}', 'r.json')).toMatchObject({
    left: { message: 'The report has no list "prices". Provide the report of a run.' },
  });
});
