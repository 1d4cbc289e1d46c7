export * from './program.js';
export * from './settings.js';
