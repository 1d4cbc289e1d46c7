export * from './soak-adapter.js';
export * from './soak-run.js';
export * from './soak-schedule.js';
export * from './soak-verdict.js';
export type { SoakOutcome } from './soak-client.js';
export type { SoakExit, SoakLifetime } from './soak-machines.js';
export type { SoakExecution } from './soak-workers.js';
