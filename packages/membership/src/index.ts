export * from './marks.js';
export * from './views.js';
