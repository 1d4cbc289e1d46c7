export * from './order-record.js';
export * from './ports.js';
export * from './restoration-plan.js';
export * from './runner-restoration.js';
