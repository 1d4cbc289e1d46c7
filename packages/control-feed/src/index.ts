export * from './asker.js';
export * from './control-feed.js';
export * from './feed-server.js';
export * from './listed-worker.js';
export * from './worker-book.js';
