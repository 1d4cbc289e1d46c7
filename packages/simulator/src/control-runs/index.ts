export * from './control-cluster.js';
