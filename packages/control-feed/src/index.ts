export * from './asker.js';
export * from './configuration.js';
export * from './control-feed.js';
export * from './feed-server.js';
export * from './listed-worker.js';
export * from './stored-value.js';
export * from './worker-book.js';
export type { WorkerLoad } from './worker-loads.js';
export type { ReportedLoad } from './worker-load-poll.js';
