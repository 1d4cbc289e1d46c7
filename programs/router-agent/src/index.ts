export * from './agent-core.js';
export * from './control-client.js';
export * from './stage-assignment.js';
export * from './fetched-report.js';
export * from './load-reports.js';
export type { ModelTrainer } from '@tansypost/learning';
