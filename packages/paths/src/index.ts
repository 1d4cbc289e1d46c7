export * from './route-table.js';
export * from './route-matcher.js';
export * from './validate-route-table.js';
export * from './tenants.js';
