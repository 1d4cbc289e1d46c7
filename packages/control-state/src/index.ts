export * from './core-record.js';
export * from './disk.js';
export * from './journal.js';
export * from './keeper.js';
export * from './owner.js';
export * from './place.js';
export * from './rounds.js';
export * from './row.js';
