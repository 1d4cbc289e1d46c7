export * from './loss-plot.js';
export * from './loss-table.js';
export * from './read-losses.js';
export * from './read-run.js';
export * from './render.js';
