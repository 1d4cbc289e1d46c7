export * from './answer.js';
export * from './worker-core.js';
