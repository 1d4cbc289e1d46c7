export * from './arm.js';
export * from './arm-counts.js';
export * from './error-spending.js';
export * from './operator-answer.js';
export * from './record.js';
export * from './statistics.js';
export * from './transitions.js';
export * from './verdict.js';
