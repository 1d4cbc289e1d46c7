export * from './agent-core.js';
export * from './ask.js';
export * from './parts-duty.js';
export * from './reports.js';
export type { ModelTrainer } from '@tansypost/learning';
