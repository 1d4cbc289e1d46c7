export * from './path-table.js';
export * from './match.js';
export * from './faults.js';
export * from './tenants.js';
