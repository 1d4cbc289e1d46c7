export * from './guarded-app.js';
