/** A plot of what requests were lost to, second by second, as SVG, with no browser. */
import { init, use } from 'echarts/core';
import { BarChart } from 'echarts/charts';
import { GridComponent, LegendComponent, TitleComponent } from 'echarts/components';
import { SVGRenderer } from 'echarts/renderers';
import { countCausesBySecond } from './missed-requests-table.js';
import type { MissedRequest } from './parse-missed-requests.js';

const size = { width: 900, height: 420 };
/** Causes beyond these are drawn as one. */
const mostCauses = 9;

function namesByCount(seconds: ReadonlyMap<number, ReadonlyMap<string, number>>): string[] {
  const totals = new Map<string, number>();
  for (const causes of seconds.values())
    for (const [name, count] of causes) totals.set(name, (totals.get(name) ?? 0) + count);
  return [...totals].sort((a, b) => b[1] - a[1]).map(([name]) => name);
}

/** A stacked bar a second, one colour a cause; the causes of most losses have names. */
export function plotMissedRequests(losses: readonly MissedRequest[], title: string): string {
  use([BarChart, GridComponent, LegendComponent, TitleComponent, SVGRenderer]);
  const seconds = countCausesBySecond(losses);
  const times = [...seconds.keys()].sort((a, b) => a - b);
  const names = namesByCount(seconds);
  const shown = names.slice(0, mostCauses);
  const rest = names.slice(mostCauses);
  function countsOf(of: readonly string[]): number[] {
    return times.map((time) => of.reduce((sum, name) => sum + (seconds.get(time)?.get(name) ?? 0), 0));
  }
  const series = [
    ...shown.map((name) => ({ name, data: countsOf([name]) })),
    ...(rest.length > 0 ? [{ name: 'others', data: countsOf(rest) }] : []),
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
