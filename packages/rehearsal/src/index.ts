export * from './cohort.js';
export * from './cohort-counts.js';
export * from './error-spending.js';
export * from './operator-decision.js';
export * from './record.js';
export * from './statistics.js';
export * from './transitions.js';
export * from './verdict.js';
