/** Renders reports and missed requests as Markdown tables. */
import { causeName, groupMissedRequests, placementOf, sizeRange, type CauseRow } from './missed-requests-table.js';
import type { MissedRequestLog } from './parse-missed-requests.js';
import type { RunReport } from './parse-run-report.js';

const maxRows = 20;
const minPriceShare = 0.0005;

function table(head: readonly string[], rows: readonly (readonly string[])[]): string {
  const lines = [head, head.map(() => '---'), ...rows].map((cells) => `| ${cells.join(' | ')} |`);
  return `${lines.join('\n')}\n`;
}

function renderCauseRows(rows: readonly CauseRow[]): string[][] {
  return rows
    .slice(0, maxRows)
    .map((row) => [
      ...row.key,
      `${row.count}`,
      row.meanExcessMs === undefined ? '' : row.meanExcessMs.toFixed(0),
      row.meanPromptTokens.toFixed(0),
    ]);
}

const causeColumns = ['requests', 'mean excess over target, ms', 'mean prompt, tokens'];

/** Renders a report: components of the score, kinds of requests, and the prices above a minimum share. */
export function renderRunReport(run: RunReport): string {
  const parts = run.parts.map((part) => [part.name, `${part.weight}`, part.value.toFixed(3)]);
  const kinds = run.kinds.map((kind) => [
    kind.name,
    `${kind.requests}`,
    `${kind.onTime}`,
    `${kind.late}`,
    `${kind.refused}`,
    `${kind.failed}`,
    kind.earnedShare.toFixed(3),
  ]);
  const prices = [...run.prices]
    .filter((price) => price.share >= minPriceShare)
    .sort((a, b) => b.share - a.share)
    .map((price) => [price.name, price.amount.toFixed(1), price.share.toFixed(4)]);
  return [
    table(['part', 'weight', 'value'], parts),
    table(['kind of request', 'asked', 'in time', 'late', 'refused', 'failed', 'worth'], kinds),
    table(['price', 'amount', 'share of the total worth'], prices),
  ].join('\n');
}

/** Renders the requests that did not end in time, by path, by prompt size and by worker. */
export function renderMissedRequests({ missed, damagedLines }: MissedRequestLog): string {
  const byCause = groupMissedRequests(missed, (request) => [request.path, causeName(request), placementOf(request)]);
  const bySize = groupMissedRequests(missed, (request) => [
    sizeRange(request.prompt),
    causeName(request),
    placementOf(request),
  ]);
  const byWorker = groupMissedRequests(missed, (request) => [request.workers.at(-1) ?? 'none', request.cause]);
  const note = damagedLines === 0 ? '' : `\n${damagedLines} damaged lines were skipped.\n`;
  return [
    `${missed.length} requests did not end in time.\n${note}`,
    table(['path', 'outcome and cause', 'read', ...causeColumns], renderCauseRows(byCause)),
    table(['prompt, tokens', 'outcome and cause', 'read', ...causeColumns], renderCauseRows(bySize)),
    table(['last worker', 'cause', ...causeColumns], renderCauseRows(byWorker.slice(0, 8))),
  ].join('\n');
}
