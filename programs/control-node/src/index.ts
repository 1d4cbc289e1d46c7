export * from './voting-control-node.js';
export * from './control-node-host.js';
export * from './file-disk.js';
