import { Eta } from 'eta';
import type { LoadReport } from './loadreport.js';

const PAGE_TEMPLATE = `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>spartray load: <%= it.r.scenario %></title>
<style>
body{font:15px/1.5 system-ui,sans-serif;margin:2rem auto;max-width:60rem;padding:0 1rem;color:#222}
table{border-collapse:collapse;margin:1rem 0}th,td{padding:.25rem .7rem;text-align:right;border-bottom:1px solid #ddd}
th:first-child,td:first-child{text-align:left}svg{width:100%;height:auto;background:#fafafa;border:1px solid #ddd}
.bad{color:#a00}.key{display:inline-block;width:.8em;height:.8em;margin:0 .3em 0 1em}
</style></head><body>
<h1><%= it.r.scenario %></h1>
<p>Simulated machines on one computer, at <%= it.r.speed %> times the time of day; seed <%= it.r.seed %>;
<%= it.n(it.r.durationS) %> s of cluster time; <%= it.n(it.r.spent) %> spent.</p>
<p class="<%= it.r.violations.length ? 'bad' : '' %>"><%= it.r.violations.length %> broken rules, <%= it.r.twice %> tasks done twice.</p>
<% for (const v of it.r.violations.slice(0, 50)) { %><p class="bad"><%= v.at %> s: <%= v.rule %>: <%= v.what %></p><% } %>
<table><tr><th>class</th><th>submitted</th><th>accepted</th><th>refused</th><th>done</th><th>cancelled</th><th>lost</th></tr>
<% for (const c of it.r.classes) { %><tr><td><%= c.name %></td><td><%= c.submitted %></td><td><%= c.accepted %></td><td><%= c.refused %></td><td><%= c.done %></td><td><%= c.cancelled %></td><td><%= c.lost %></td></tr><% } %>
</table>
<p>Lowest served: <% for (const s of it.r.served.slice(0, 3)) { %><%= s.who %>, <%= s.what %> <%= it.n(s.share) %>; <% } %></p>
<table><tr><th>class</th><th>what</th><th>count</th><th>p50</th><th>p90</th><th>p99</th><th>max</th></tr>
<% for (const c of it.r.classes) for (const [what, s] of [['submitted, ms', c.submitMs], ['started, s', c.startS], ['finished, s', c.finishS]]) { %>
<tr><td><%= c.name %></td><td><%= what %></td><td><%= s.count %></td><td><%= it.n(s.p50) %></td><td><%= it.n(s.p90) %></td><td><%= it.n(s.p99) %></td><td><%= it.n(s.max) %></td></tr><% } %>
</table>
<h2>Over time</h2>
<p><% for (const l of it.lines) { %><span class="key" style="background:<%= l.color %>"></span><%= l.name %> (up to <%= l.most %>)<% } %></p>
<svg viewBox="0 0 <%= it.w %> <%= it.h %>" role="img" aria-label="machines, tasks and open jobs over time">
<% for (const f of it.faults) { %><line x1="<%= f.x %>" x2="<%= f.x %>" y1="0" y2="<%= it.h %>" stroke="#c66" stroke-dasharray="4 4"/><text x="<%= f.x + 3 %>" y="12" font-size="11" fill="#a44"><%= f.what %></text><% } %>
<% for (const l of it.lines) { %><polyline fill="none" stroke="<%= l.color %>" stroke-width="1.5" points="<%= l.points %>"/><% } %>
</svg>
</body></html>
`;
const [WIDTH, HEIGHT] = [900, 260];

/** Renders a report as a self-contained HTML page. */
export function pageOf(report: LoadReport): string {
  const endS = Math.max(1, report.series.at(-1)?.at ?? 1);
  const line = (name: string, color: string, value: (p: LoadReport['series'][number]) => number) => {
    const most = Math.max(1, ...report.series.map(value));
    const points = report.series
      .map(
        (p) =>
          `${((p.at / endS) * WIDTH).toFixed(1)},${(HEIGHT - 4 - (value(p) / most) * (HEIGHT - 24)).toFixed(1)}`,
      )
      .join(' ');
    return { name, color, most, points };
  };
  return new Eta({ autoTrim: false }).renderString(PAGE_TEMPLATE, {
    r: report,
    w: WIDTH,
    h: HEIGHT,
    n: (x: number) => (x >= 100 ? Math.round(x) : Math.round(x * 100) / 100),
    faults: report.faults.map((f) => ({ x: Math.round((f.at / endS) * WIDTH), what: f.what })),
    lines: [
      line('machines up', '#36c', (p) => p.machines),
      line('tasks on machines', '#3a3', (p) => p.tasks),
      line('jobs not over', '#c83', (p) => p.open),
    ],
  });
}
