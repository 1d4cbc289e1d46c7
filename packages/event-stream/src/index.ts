export * from './numbered-stream.js';
export * from './parser.js';
export * from './stream-fault.js';
