/** A plot of measured points and their slope as SVG, with no browser. */
import { init, use } from 'echarts/core';
import { LineChart } from 'echarts/charts';
import { GridComponent, LegendComponent, MarkLineComponent, TitleComponent } from 'echarts/components';
import { SVGRenderer } from 'echarts/renderers';

/** One measured point. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

export interface Plot {
  readonly title: string;
  readonly x: string;
  // The end of the axis, where it is not the usual 1000.
  readonly xMax?: number;
  readonly y: string;
  readonly series: readonly { readonly name: string; readonly points: readonly Point[] }[];
  readonly limit?: { readonly name: string; readonly y: number };
}

export function plotSvg(p: Plot, partial: boolean): string {
  use([LineChart, GridComponent, LegendComponent, MarkLineComponent, TitleComponent, SVGRenderer]);
  const chart = init(null, null, { renderer: 'svg', ssr: true, width: 640, height: 380 });
  const low = Math.min(...p.series.flatMap((s) => s.points.map((q) => q.y)));
  chart.setOption({
    animation: false,
    backgroundColor: '#fff',
    title: { text: partial ? `${p.title} (PARTIAL)` : p.title, left: 'center', textStyle: { fontSize: 14 } },
    legend: { top: 28 },
    grid: { left: 80, right: 40, top: 70, bottom: 50 },
    xAxis: { type: 'log', name: p.x, nameLocation: 'middle', nameGap: 28, min: 10, max: p.xMax ?? 1000 },
    yAxis: { type: low > 0 ? 'log' : 'value', name: p.y },
    series: p.series.map((s, i) => ({
      name: s.name,
      type: 'line',
      symbolSize: 7,
      data: s.points.map((q) => [q.x, q.y]),
      ...(i > 0 || p.limit === undefined
        ? {}
        : {
            markLine: {
              silent: true,
              symbol: 'none',
              label: { formatter: p.limit.name, position: 'insideEndTop' },
              data: [{ yAxis: p.limit.y }],
            },
          }),
    })),
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}
