export * from './fleet-clock.js';
export * from './usage-collector.js';
export * from './usage-content.js';
export * from './usage-counter.js';
export * from './usage-window.js';
export * from './usage-duty.js';
