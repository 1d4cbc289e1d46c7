export * from './duty-record.js';
export * from './duty-runner.js';
export type { DutyStatus, OpenCall } from './duty-status.js';
export * from './ports.js';
