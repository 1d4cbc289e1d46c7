export * from './load-history.js';
export * from './scale-duty.js';
export * from './scale-order.js';
export * from './scale-planner.js';
export * from './worker-targets.js';
export * from './zone-load.js';
