export * from './json.js';
export * from './schema.js';
export * from './socket-address.js';
