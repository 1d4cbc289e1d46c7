export * from './worker-state-table.js';
export * from './gossip-membership.js';
