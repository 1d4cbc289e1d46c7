export * from './keeper-core.js';
