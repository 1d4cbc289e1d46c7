export * from './keeper-core.js';
export * from './keeper-host.js';
export * from './file-disk.js';
