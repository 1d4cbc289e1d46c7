/** How the answer of a simulated worker is classified. */
import { expect, it } from 'vitest';
import { promptDigest, answerLength, answerToken, answerText, classifyAnswer } from './answer.js';

it('distinguishes complete, cut, foreign, spliced and overlong answers', () => {
  const [prompt, otherPrompt] = ['first prompt', 'second prompt'];
  const promptHash = promptDigest(prompt);
  const length = answerLength(promptHash, 40);
  expect(classifyAnswer(prompt, 40, answerText(promptHash, 0, length))).toBe('whole');
  expect(classifyAnswer(prompt, 40, answerText(promptHash, 0, length - 1))).toBe('cut');
  expect(classifyAnswer(prompt, 40, answerText(promptDigest(otherPrompt), 0, length))).toBe('foreign');
  expect(
    classifyAnswer(prompt, 40, answerText(promptHash, 0, 5) + answerText(promptDigest(otherPrompt), 5, length)),
  ).toBe('foreign');
  expect(classifyAnswer(prompt, 40, answerText(promptHash, 0, 5) + answerText(promptHash, 4, length))).toBe('foreign');
  expect(classifyAnswer(prompt, 40, answerText(promptHash, 0, length) + answerToken(promptHash, length))).toBe(
    'overlong',
  );
});
