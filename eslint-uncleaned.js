/**
 * Directories that don't meet the readability rules yet (see eslint-readability.js). The list may only
 * shrink: tests/style.test.ts fails when a directory is added, and when one stays that meets the rules.
 */
export const uncleaned = [
  'deploy',
  'packages/control-feed',
  'packages/control-state',
  'packages/inner-protocol',
  'packages/learning',
  'packages/pass-through',
  'packages/placement',
  'packages/simulator',
  'platform',
  'programs/control-node',
  'programs/fleet-runner',
  'programs/request-router',
  'programs/requester-stand-in',
  'programs/router-agent',
  'programs/tansypost',
  'programs/worker-stand-in',
];
