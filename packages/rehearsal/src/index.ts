export * from './arm.js';
export * from './rehearsal.js';
export * from './verdict.js';
