export * from './call.js';
