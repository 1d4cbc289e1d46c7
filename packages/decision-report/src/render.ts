/** Tables of what a run's worth was lost to, as Markdown. */
import { causeName, groupMissedRequests, placementOf, sizeRange, type CauseRow } from './missed-requests-table.js';
import type { MissedRequestLog } from './parse-missed-requests.js';
import type { RunReport } from './parse-run-report.js';

const mostRows = 20;
const leastPrice = 0.0005;

function table(head: readonly string[], rows: readonly (readonly string[])[]): string {
  const lines = [head, head.map(() => '---'), ...rows].map((cells) => `| ${cells.join(' | ')} |`);
  return `${lines.join('\n')}\n`;
}

function lossRows(rows: readonly CauseRow[]): string[][] {
  return rows
    .slice(0, mostRows)
    .map((row) => [
      ...row.key,
      `${row.count}`,
      row.meanExcessMs === undefined ? '' : row.meanExcessMs.toFixed(0),
      row.meanPromptTokens.toFixed(0),
    ]);
}

const lossHead = ['requests', 'mean over the aim, ms', 'mean prompt, tokens'];

/** What the report says: the parts of the goal, the kinds of requests, and the prices that matter. */
export function renderRunReport(run: RunReport): string {
  const parts = run.parts.map((part) => [part.name, `${part.weight}`, part.value.toFixed(3)]);
  const kinds = run.kinds.map((kind) => [
    kind.name,
    `${kind.requests}`,
    `${kind.onTime}`,
    `${kind.late}`,
    `${kind.refused}`,
    `${kind.failed}`,
    kind.valueShare.toFixed(3),
  ]);
  const prices = [...run.prices]
    .filter((price) => price.share >= leastPrice)
    .sort((a, b) => b.share - a.share)
    .map((price) => [price.name, price.amount.toFixed(1), price.share.toFixed(4)]);
  return [
    table(['part', 'weight', 'value'], parts),
    table(['kind of request', 'asked', 'in aim', 'late', 'refused', 'failed', 'worth'], kinds),
    table(['price', 'amount', 'share of the worth owed'], prices),
  ].join('\n');
}

/** What the routers say of the requests that did not end in time. */
export function renderMissedRequests({ missed: losses, damagedLines: damaged }: MissedRequestLog): string {
  const byCause = groupMissedRequests(losses, (loss) => [loss.path, causeName(loss), placementOf(loss)]);
  const bySize = groupMissedRequests(losses, (loss) => [sizeRange(loss.prompt), causeName(loss), placementOf(loss)]);
  const byWorker = groupMissedRequests(losses, (loss) => [loss.workers.at(-1) ?? 'none', loss.cause]);
  const note = damaged === 0 ? '' : `\n${damaged} damaged lines were left out.\n`;
  return [
    `${losses.length} requests did not end in time.\n${note}`,
    table(['path', 'lost to', 'read', ...lossHead], lossRows(byCause)),
    table(['prompt, tokens', 'lost to', 'read', ...lossHead], lossRows(bySize)),
    table(['last worker', 'cause', ...lossHead], lossRows(byWorker.slice(0, 8))),
  ].join('\n');
}
