export * from './byte-accumulator.js';
export * from './byte-budget.js';
export * from './connection-guard.js';
export * from './guarded-server.js';
export * from './peer-guards.js';
export * from './port-budget.js';
export * from './port-limits.js';
export * from './request-body.js';
