export * from './fleet.js';
export * from './plan.js';
export * from './processes.js';
export * from './run.js';
export * from './schedule.js';
export * from './soak/index.js';
