export * from './missed-requests-plot.js';
export * from './missed-requests-table.js';
export * from './parse-missed-requests.js';
export * from './parse-run-report.js';
export * from './render.js';
