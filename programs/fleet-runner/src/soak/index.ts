export * from './soak-dialect.js';
export * from './soak-run.js';
export * from './soak-schedule.js';
export * from './soak-verdict.js';
export type { SoakOutcome } from './soak-client.js';
export type { SoakExit, SoakLife } from './soak-machines.js';
export type { SoakRun } from './soak-workers.js';
