export type { LearningTerms } from './ground.js';
export * from './passed-checks.js';
export * from './passed-day.js';
export * from './passed-deployment.js';
export * from './passed-history.js';
export * from './passed-one.js';
export * from './passed-troubles.js';
export * from './spoil.js';
