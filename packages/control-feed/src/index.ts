export * from './asker.js';
export * from './control-feed.js';
export * from './feed-keeper.js';
export * from './listed-worker.js';
export * from './worker-book.js';
