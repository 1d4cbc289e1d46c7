export * from './candidate.js';
export * from './voter.js';
