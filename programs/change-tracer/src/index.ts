export * from './trace.js';
