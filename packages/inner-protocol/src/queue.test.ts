/** The order in which a command queue handles commands. */
import { expect, it } from 'vitest';
import { createQueue } from './queue.js';

it('handles a command posted by a handler after the command that posted it', () => {
  const handled: string[] = [];
  const queue = createQueue<string>((command) => {
    if (command === 'a') queue.post('b');
    handled.push(command);
  });
  queue.post('a');
  expect(handled).toEqual(['a', 'b']);
});
