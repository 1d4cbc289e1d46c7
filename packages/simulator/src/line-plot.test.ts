import { expect, it } from 'vitest';
import { plotSvg } from './line-plot.js';

it('draws a plot with each series and marks one of a run that was broken off', () => {
  const series = [
    {
      name: 'out',
      points: [
        { x: 12, y: 1 },
        { x: 420, y: 30 },
      ],
    },
  ];
  const svg = plotSvg({ title: 'Bytes', x: 'members', y: 'B/s', series, limit: { name: 'budget', y: 20 } }, true);
  expect(svg).toMatch(/^<svg/);
  expect(svg).toContain('PARTIAL');
  expect(plotSvg({ title: 'Bytes', x: 'members', y: 'B/s', series }, false)).not.toContain('PARTIAL');
});
