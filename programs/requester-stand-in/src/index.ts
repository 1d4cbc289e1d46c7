export * from './drive.js';
export * from './report.js';
export * from './requester.js';
export * from './traffic.js';
