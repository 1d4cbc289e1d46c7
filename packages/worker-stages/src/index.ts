export * from './order-record.js';
export * from './ports.js';
export * from './recovery-plan.js';
export * from './decode-recovery.js';
