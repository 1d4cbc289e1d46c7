/** Plots the causes of missed requests over time as SVG, without a browser. */
import { init, use } from 'echarts/core';
import { BarChart } from 'echarts/charts';
import { GridComponent, LegendComponent, TitleComponent } from 'echarts/components';
import { SVGRenderer } from 'echarts/renderers';
import { countCausesBySecond } from './missed-requests-table.js';
import type { MissedRequest } from './parse-missed-requests.js';

const size = { width: 900, height: 420 };
/** The rarer causes beyond this number are drawn as one. */
const maxCauses = 9;

function causesByCount(seconds: ReadonlyMap<number, ReadonlyMap<string, number>>): string[] {
  const totals = new Map<string, number>();
  for (const causes of seconds.values())
    for (const [name, count] of causes) totals.set(name, (totals.get(name) ?? 0) + count);
  return [...totals].sort((a, b) => b[1] - a[1]).map(([name]) => name);
}

/** Draws one stacked bar for each second, with one colour for each cause; only the most frequent causes are named. */
export function plotMissedRequests(requests: readonly MissedRequest[], title: string): string {
  use([BarChart, GridComponent, LegendComponent, TitleComponent, SVGRenderer]);
  const seconds = countCausesBySecond(requests);
  const times = [...seconds.keys()].sort((a, b) => a - b);
  const names = causesByCount(seconds);
  const shownNames = names.slice(0, maxCauses);
  const otherNames = names.slice(maxCauses);
  function countsOf(ofNames: readonly string[]): number[] {
    return times.map((time) => ofNames.reduce((sum, name) => sum + (seconds.get(time)?.get(name) ?? 0), 0));
  }
  const series = [
    ...shownNames.map((name) => ({ name, data: countsOf([name]) })),
    ...(otherNames.length > 0 ? [{ name: 'others', data: countsOf(otherNames) }] : []),
  ];
  const chart = init(null, null, { renderer: 'svg', ssr: true, ...size });
  chart.setOption({
    animation: false,
    backgroundColor: '#fff',
    title: { text: title, left: 'center', textStyle: { fontSize: 14 } },
    legend: { top: 26 },
    grid: { left: 60, right: 20, top: 90, bottom: 45 },
    xAxis: { type: 'category', name: 'second', nameLocation: 'middle', nameGap: 28, data: times },
    yAxis: { type: 'value', name: 'requests not in time' },
    series: series.map((each) => ({ ...each, type: 'bar', stack: 'all', barCategoryGap: '15%' })),
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}
