export * from './catalogue.js';
export * from './log.js';
export * from './page.js';
