export * from './desired-state.js';
export * from './template.js';
