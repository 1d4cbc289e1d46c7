export * from './checks.js';
export * from './engine.js';
export * from './faults.js';
export * from './history.js';
export * from './network.js';
export * from './one.js';
export * from './sim-fleet.js';
