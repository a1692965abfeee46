import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { test } from 'node:test';
import fc from 'fast-check';
import { parseExpr } from '../../src/classad/parser.js';
import { analyze } from '../../src/condor/analyze.js';
import { parseSubmit, rowsOf } from '../../src/condor/language.js';
import { SubmitError } from '../../src/condor/macros.js';
import { ClassAdMatcher, kindAd } from '../../src/condor/matcher.js';
import { ClusterPlan } from '../../src/condor/procs.js';
import { MachineTypeCatalog } from '../../src/context/machinetypecatalog.js';
import { NameTables } from '../../src/context/nametables.js';
import { Plan } from '../../src/plan/plan.js';
import { FakeCluster, job } from '../support/cluster.js';
import {
  completeRunningTasks,
  condorCluster,
  expandThroughCrashes,
  requestWithRetry,
  SUBMIT_FILE_HEAD,
  submission,
} from '../support/condor.js';
import { planJob, machine as planMachine, size } from '../support/plan.js';

const OPTIONS = { teams: ['red', 'blue'], team: null, neverRunsReason: () => null };
const plan = (text: string, rows: Record<string, string[]> = {}) =>
  new ClusterPlan({ text, rows, user: 'ann', at: 0 }, OPTIONS);
const specs = (text: string, rows?: Record<string, string[]>) => {
  const p = plan(text, rows);
  return Array.from({ length: p.total }, (_, n) => p.proc(7, n).spec);
};
const args = (text: string, rows?: Record<string, string[]>) => {
  const p = plan(text, rows);
  return Array.from({ length: p.total }, (_, n) => {
    const e = p.proc(7, n).ad.get('Args');
    return e?.node === 'literal' ? e.value : null;
  });
};

test('expands a submit file into the processes that it describes', () => {
  assert.deepEqual(
    args(`${SUBMIT_FILE_HEAD}arguments = $(Cluster).$(Process) $(x:none)\nqueue 2\nx = 5\nqueue`),
    ['7.0 none', '7.1 none', '7.2 5'],
  );
  assert.deepEqual(
    args(
      `${SUBMIT_FILE_HEAD}arguments = $(a)|$(b)|$(Step)\nqueue 2 a, b from (\n one two three\n "x y", z\n)`,
    ),
    ['one|two three|0', 'one|two three|1', 'x y|z|0', 'x y|z|1'],
  );
  assert.deepEqual(
    args(`${SUBMIT_FILE_HEAD}arguments = $Fnx(f) $INT(n) $CHOICE(1, p, q)\nn = 3.7\nqueue f from list`, {
      0: ['d/a.txt'],
    }),
    ['a.txt 3 q'],
  );
  assert.deepEqual(args(`${SUBMIT_FILE_HEAD}arguments = $(Item)\nqueue in [-2:] (a b c)`), ['b', 'c']);
  assert.deepEqual(
    args(
      `${SUBMIT_FILE_HEAD}a = 1\na = $(a)2\narguments = $(a) \\\n  more\nif $(a) > 3\nqueue\nelse\nqueue 9\nendif`,
    ),
    ['12   more'],
  );
  const [s] = specs(
    `${SUBMIT_FILE_HEAD}request_memory = 1.5 GB\nrequest_cpus = 1 + 1\nrequest_gpus = 1\nnice_user = true\nqueue`,
  );
  assert.deepEqual(
    [s!.memoryGb, s!.cpus, s!.gpus, s!.priority, s!.team, s!.match],
    [1.5, 2, 1, 0, 'red', undefined],
  );
  const [gang] = specs(
    `${SUBMIT_FILE_HEAD}universe = parallel\nmachine_count = 3\naccounting_group = blue.x.y\nqueue`,
  );
  assert.deepEqual([gang!.kind, gang!.tasks, gang!.oneZone, gang!.team], ['gang', 3, true, 'blue']);
  const [asks] = specs(
    `${SUBMIT_FILE_HEAD}request_memory = 2G\nrequirements = Memory >= RequestMemory && ProcId == 0\nrank = Cpus * 2\nqueue`,
  );
  assert.deepEqual(asks!.match, { requirements: 'TARGET.Memory >= 2048', rank: 'TARGET.Cpus * 2' });
});

test('reports errors in a submit file by line and column, and creates no process of it', () => {
  const invalidFiles: [string, number, number, RegExp][] = [
    ['executable = a\nqueue 2 x', 2, 1, /"in", "from" or "matching"/],
    ['executable = a', 1, 1, /"queue" was expected/],
    [`${SUBMIT_FILE_HEAD}requirements = Memory >\nqueue`, 3, 24, /value/],
    [`${SUBMIT_FILE_HEAD}requirements = (Memory > 3\nqueue`, 3, 27, /expected/],
    [`${SUBMIT_FILE_HEAD}what is this\nqueue`, 3, 1, /name = value/],
    [`${SUBMIT_FILE_HEAD}if defined x\nqueue`, 3, 1, /endif/],
    [`${SUBMIT_FILE_HEAD}include : other\nqueue`, 3, 1, /include/],
    [`${SUBMIT_FILE_HEAD}arguments = a $$(Memory)\nqueue`, 3, 15, /machine/],
    [`${SUBMIT_FILE_HEAD}arguments = $(a)\na = $(b)\nb = $(a)\nqueue`, 4, 5, /need each other/],
    [`${SUBMIT_FILE_HEAD}arguments = $(a\nqueue`, 3, 13, /closing bracket/],
    [`${SUBMIT_FILE_HEAD}request_cpus = -1\nqueue`, 3, 16, /RequestCpus/],
    [`${SUBMIT_FILE_HEAD}request_cpus = "many"\nqueue`, 3, 16, /RequestCpus/],
    ['executable = a\naccounting_group = green\nqueue', 2, 20, /red, blue/],
    ['accounting_group = red\nqueue', 2, 1, /executable/],
    [`${SUBMIT_FILE_HEAD}cron_hour = 3\nqueue`, 3, 1, /calendar/],
    [`${SUBMIT_FILE_HEAD}on_exit_remove = ExitCode != 0\nqueue`, 3, 18, /for ever/],
    [`${SUBMIT_FILE_HEAD}queue x in (a b`, 3, 1, /"\)"/],
    [`${SUBMIT_FILE_HEAD}queue 200000`, 3, 1, /100000 processes/],
    [`${SUBMIT_FILE_HEAD}queue 0`, 3, 1, /no process/],
    [`${SUBMIT_FILE_HEAD}x = ${'y'.repeat(66_000)}\nqueue`, 1, 1, /64 KiB/],
    [`${SUBMIT_FILE_HEAD}requirements = ${'('.repeat(3000)}\nqueue`, 3, 116, /nested/],
  ];
  for (const [text, line, column, message] of invalidFiles) {
    assert.throws(
      () => plan(text).check(),
      (error) => {
        assert.ok(error instanceof SubmitError, `${text}: ${error}`);
        assert.match(error.message, message);
        assert.deepEqual([error.line, error.column], [line, column], text.slice(0, 200));
        return true;
      },
    );
  }
  const doubling = `${SUBMIT_FILE_HEAD}a0 = xxxxxxxxxx\n${Array.from({ length: 30 }, (_, i) => `a${i + 1} = $(a${i})$(a${i})`).join('\n')}\narguments = $(a30)\nqueue`;
  assert.throws(() => plan(doubling).check(), /too much text/);
  const planWithWarnings = plan(
    `${SUBMIT_FILE_HEAD}log = x\noutput = y\nfroboz = 1\ncount = 2\nqueue $(count)`,
  );
  assert.deepEqual(
    planWithWarnings.warnings.map((w) => w.split(' ').slice(0, 3).join(' ')),
    ['line 3: log', 'line 4: output', 'line 5: froboz'],
  );
  assert.equal(rowsOf(parseSubmit(`${SUBMIT_FILE_HEAD}queue Item in (a,b , c)`)[0]!).length, 3);
});

// Guards against a parser that throws another error than SubmitError: it would be answered with 503 and retried
// forever.
test('accepts a truncated or altered submit file or rejects it with a position', () => {
  const files = readdirSync('examples/condor').filter((f) => f.endsWith('.sub'));
  assert.ok(files.length >= 20);
  let refused = 0;
  const read = (text: string) => {
    try {
      const p = new ClusterPlan({ text, rows: {}, user: 'ann', at: 0 }, { ...OPTIONS, team: 'red' });
      if (p.total < 1000) p.check();
    } catch (error) {
      assert.ok(error instanceof SubmitError, `${error instanceof Error ? error.stack : error}\n${text}`);
      refused++;
    }
  };
  for (const f of files) {
    const text = readFileSync(`examples/condor/${f}`, 'utf8');
    for (let cut = 0; cut < text.length; cut += 13) read(text.slice(0, cut));
  }
  const texts = files.map((f) => readFileSync(`examples/condor/${f}`, 'utf8'));
  const fragments = [
    '(',
    ')',
    '$(',
    '$$(',
    '"',
    '\\',
    'queue',
    'if',
    'endif',
    '[',
    '{',
    '\u0000',
    '=',
    '@=x',
    '9'.repeat(30),
    '\n',
  ];
  fc.assert(
    fc.property(
      fc.constantFrom(...texts),
      fc.nat(),
      fc.nat(40),
      fc.constantFrom(...fragments),
      (text, at, removedLength, inserted) => {
        const from = at % text.length;
        read(text.slice(0, from) + inserted + text.slice(from + removedLength));
      },
    ),
    { seed: 23, numRuns: 800 },
  );
  assert.ok(refused > 100);
});

function catalogWithMatcher() {
  const names = new NameTables();
  const catalog = new MachineTypeCatalog(names);
  const type = (name: string, cpus: number, memoryGb: number, zones: string[]) => ({
    name,
    cpus,
    gpus: 0,
    memoryGb,
    cacheGb: 100,
    fetchGbPerS: 1,
    price: cpus / 10,
    spotPrice: cpus / 30,
    bootS: 30,
    zones,
  });
  catalog.set([type('c8', 8, 32, ['a', 'b']), type('c32', 32, 256, ['a'])]);
  for (const z of ['a', 'b']) names.zones.index(z);
  return { names, catalog, type, matcher: new ClassAdMatcher(names, catalog) };
}

test('evaluates a requirement once per kind and per state of a machine, and for types that are added later', () => {
  const { matcher, catalog, type } = catalogWithMatcher();
  const match = matcher.compile({ requirements: 'Memory > 100000 && !Spot', rank: null });
  assert.equal(match.machine, null);
  for (let i = 0; i < 5; i++) {
    assert.equal(match.kind(0, 0, false), false);
    assert.equal(match.kind(1, 0, false), true);
    assert.equal(match.kind(1, 0, true), false);
    assert.equal(match.kind(2, 0, false), false, 'not known yet');
  }
  assert.equal(matcher.evaluationCount, 3);
  catalog.set([type('huge', 64, 512, ['b'])]);
  assert.equal(match.kind(2, 1, false), true);
  const perMachine = matcher.compile({
    requirements: 'LoadAvg < 2 && Machine != "m-1" && Memory > 1',
    rank: 'member("img", CachedImages) * 5',
  });
  const machine = (id: string, cpus: number) =>
    planMachine({
      id,
      images: new Set(),
      running: cpus > 0 ? [{ team: 0, end: 1, need: { cpus, gpus: 0, memoryGb: 1 } }] : [],
    });
  assert.equal(perMachine.kind(0, 0, false), true, 'the result depends on the single machine');
  const before = matcher.evaluationCount;
  for (let i = 0; i < 4; i++) {
    assert.equal(perMachine.machine!(machine('m-1', 0)), false);
    assert.equal(perMachine.machine!(machine('m-2', 0)), true);
  }
  assert.equal(matcher.evaluationCount, before + 2);
  assert.equal(perMachine.machine!(machine('m-2', 4)), false, 'evaluated again after its load has changed');
  assert.equal(perMachine.rank!(machine('m-2', 0)), 0);
});

test('uses rank to choose between equally loaded machines only', () => {
  const { matcher } = catalogWithMatcher();
  const match = matcher.compile({ requirements: 'true', rank: 'Machine == "m-1"' });
  const asked = planJob({ need: { cpus: 2, gpus: 0, memoryGb: 1 }, match, imageGb: 1 });
  const place = (held: { team: number; end: number; need: typeof size }[]) => {
    const p = new Plan(
      0,
      [planMachine({ id: 'm-0', running: held }), planMachine({ id: 'm-1' })],
      [{ cpus: 0, gpus: 0 }],
    );
    p.reserve(asked);
    return p.reservations[0]!.machine;
  };
  assert.equal(place([]), 1, 'both are empty: the machine with the higher rank');
  assert.equal(
    place([{ team: 0, end: 100, need: { ...size, cpus: 4 } }]),
    0,
    'the more loaded machine, whatever its rank',
  );
});

test('explains clause by clause why no kind matches', () => {
  const { catalog } = catalogWithMatcher();
  const offers = catalog
    .offeredTypes()
    .flatMap(([, t]) =>
      t.zones.map((zone) => ({ type: t.name, zone, spot: false, ad: kindAd(t, zone, false) })),
    );
  const my = plan(`${SUBMIT_FILE_HEAD}queue`).proc(1, 0).ad;
  const analysis = analyze(parseExpr('Memory > 512000 && Zone == "a"'), my, offers);
  assert.deepEqual([analysis.kinds, analysis.matches], [3, 0]);
  assert.equal(analysis.reason, 'Memory > 512000: largest is 262144 on 1 type; the other clauses match 2');
  assert.equal(analyze(parseExpr('Zone == "c"'), my, offers).reason, 'Zone == "c": there are "a", "b"');
  assert.match(
    analyze(parseExpr('Zone == "b" && Cpus > 8'), my, offers).reason!,
    /none of the 3 matches all/,
  );
  assert.equal(analyze(parseExpr('Cpus > 8'), my, offers).reason, null);
});

// --- clusters of submit files on simulated controllers and workers

for (const first of [0, 1, 2]) {
  test(`neither loses nor duplicates a process when the expander is killed at durable steps (${first} of 3 in turn)`, async () => {
    assert.ok((await expandThroughCrashes(150, 3 * 5 + 1, first * 5 + 1, 12)) > 2);
  });
}

test('gives a repeated submission the same cluster, and reuses no number after all controllers restart', async () => {
  const cluster = condorCluster(['n0', 'n1']);
  const numbers = [];
  for (const n of [1, 1, 2])
    numbers.push(
      (await requestWithRetry(cluster, `n${n % 2}`, 'POST', '/condor/clusters', submission('queue', n))).body
        .cluster,
    );
  assert.deepEqual(numbers, [1, 1, 2]);
  const finished = completeRunningTasks(cluster);
  assert.ok(await cluster.clock.until(() => finished.done.size === 2, 60_000));
  for (const n of ['n0', 'n1']) cluster.killNode(n);
  for (const n of ['n0', 'n1']) cluster.startNode(n);
  assert.equal(
    (await requestWithRetry(cluster, 'n0', 'POST', '/condor/clusters', submission('queue', 3))).body.cluster,
    3,
  );
});

test('rejects an invalid submit file as a whole, with the position of the error', async () => {
  const cluster = condorCluster(['n0']);
  const send = async (body: object) =>
    (await requestWithRetry(cluster, 'n0', 'POST', '/condor/clusters', body)) as {
      status: number;
      body: { error: string; line?: number };
    };
  assert.equal((await send({ text: 'queue' })).status, 400);
  const nested = await send(submission(`requirements = ${'{'.repeat(500)}\nqueue`));
  assert.deepEqual([nested.status, nested.body.line], [400, 3]);
  assert.equal((await send(submission('requirements = "open\nqueue'))).body.line, 3);
  // The last process of a queue statement is checked as well as the first.
  assert.equal((await send(submission('request_cpus = 5 - ProcId\nqueue 10'))).status, 400);
  assert.equal((await send({ ...submission('queue x from list'), rows: {} })).status, 400);
  assert.equal([...cluster.state.items.keys()].filter((k) => k.startsWith('condor/')).length, 0);
});

test('keeps unmatched processes waiting with a reason, starts them once a matching type is added, and runs native jobs beside them', async () => {
  const cluster = condorCluster(['n0']);
  // More processes than a shard reports to the leader and than the team is guaranteed: neither may delay a
  // native job.
  await requestWithRetry(
    cluster,
    'n0',
    'POST',
    '/condor/clusters',
    submission('requirements = Memory > 60000\nrequest_cpus = 8\nqueue 40'),
  );
  await cluster.clock.advance(10_000);
  assert.ok(await cluster.submit('n0', job('wk-native')));
  assert.ok(await cluster.clock.until(() => cluster.workers.some((w) => w.isActive('wk-native/0')), 20_000));
  await cluster.clock.advance(20_000);
  const page = await requestWithRetry(cluster, 'n0', 'GET', '/condor/clusters/1/procs?from=0');
  assert.deepEqual(
    page.body.procs.slice(0, 2).map((p: { state: string; reason: string }) => [p.state, p.reason]),
    [0, 1].map(() => ['idle', 'Memory > 60000: largest is 32768 on 2 types; the other clauses match 8']),
  );
  assert.equal(
    cluster.workers.some((w) => w.executedStarts.some((t) => t.startsWith('wk-condor'))),
    false,
  );
  cluster.additionalTypes.push(['c64', 64, 0]);
  cluster.addWorker('c64', 'a');
  assert.ok(await cluster.clock.until(() => cluster.workers.at(-1)!.isActive('wk-condor-1-1/0'), 60_000));
});

test('hold stops running tasks, release restarts them, and a cluster removed during expansion leaves nothing behind', async () => {
  const cluster = condorCluster(['n0', 'n1']);
  await requestWithRetry(
    cluster,
    'n0',
    'POST',
    '/condor/clusters',
    submission('request_cpus = 1\n+Small = ProcId < 1\nqueue 3'),
  );
  assert.ok(
    await cluster.clock.until(() => cluster.workers.some((w) => w.isActive('wk-condor-1-0/0')), 30_000),
  );
  const held = await requestWithRetry(cluster, 'n1', 'POST', '/condor/clusters/1/hold', {
    constraint: 'Small',
    reason: 'look first',
  });
  assert.deepEqual(held, { status: 200, body: { changed: 1 } });
  assert.ok(
    await cluster.clock.until(() => !cluster.workers.some((w) => w.isActive('wk-condor-1-0/0')), 15_000),
  );
  const states = async () =>
    (await requestWithRetry(cluster, 'n0', 'GET', '/condor/clusters/1/procs?from=0')).body.procs.map(
      (p: { state: string }) => p.state,
    );
  assert.equal((await states())[0], 'held');
  // The next expander knows that the process is held.
  cluster.killNode('n0');
  cluster.startNode('n0');
  await cluster.clock.advance(20_000);
  assert.equal(
    cluster.workers.some((w) => w.isActive('wk-condor-1-0/0')),
    false,
  );
  assert.equal((await states())[0], 'held');
  assert.equal(
    (await requestWithRetry(cluster, 'n0', 'POST', '/condor/clusters/1/release', { procs: [0] })).body
      .changed,
    1,
  );
  assert.ok(
    await cluster.clock.until(() => cluster.workers.some((w) => w.isActive('wk-condor-1-0-r1/0')), 30_000),
  );

  await requestWithRetry(
    cluster,
    'n0',
    'POST',
    '/condor/clusters',
    submission('request_cpus = 1\nqueue 3000', 1),
  );
  const accepted = () =>
    [...cluster.state.items.keys()].filter((k) => k.startsWith('act/wk-condor-2-')).length;
  assert.ok(await cluster.clock.until(() => accepted() > 70, 60_000));
  assert.equal((await requestWithRetry(cluster, 'n1', 'POST', '/condor/clusters/2/remove', {})).status, 200);
  cluster.killNode('n0');
  cluster.startNode('n0');
  const over = () => cluster.state.value('condor/over/00000002') !== undefined;
  assert.ok(await cluster.clock.until(over, 300_000));
  assert.equal(accepted(), 0);
  assert.equal(
    cluster.workers.some((w) =>
      w.attempts.some((a) => a.job.startsWith('wk-condor-2-') && a.state !== 'exited'),
    ),
    false,
  );
  assert.deepEqual(
    [...cluster.state.items.keys()].filter((k) => k.startsWith('condor/p/submission-1')),
    [],
  );
});

test('rejects submit files while one controller does not serve them', async () => {
  const cluster = new FakeCluster(['n0', 'n1']);
  cluster.condor = true;
  cluster.startNode('n0');
  cluster.condor = false;
  cluster.startNode('n1');
  await cluster.clock.advance(5000);
  const request = cluster.request('POST', '/condor/clusters', submission('queue'));
  const reply = await cluster.answered(cluster.nodes.get('n0')!.api.handle(request));
  assert.deepEqual([reply.status, reply.headers?.['Retry-After']], [503, '1']);
});

test('applies periodic hold, release and remove, and respects the owner limits on materialized processes', async () => {
  const cluster = condorCluster(['n0'], 1);
  // A machine without tasks would be returned to the cloud.
  assert.ok(await cluster.submit('n0', job('wk-keeps', { shape: 'standing', cpus: 1 })));
  const idle = '(JobStatus == 1) && (CurrentTime - QDate > 30)';
  const never = 'requirements = Memory > 60000\n';
  await requestWithRetry(
    cluster,
    'n0',
    'POST',
    '/condor/clusters',
    submission(`${never}periodic_remove = ${idle}\nqueue 3`),
  );
  const text = `request_cpus = 1\nperiodic_hold = NumJobStarts == 0 && ${idle.replace('1', '2')}\nperiodic_hold_reason = "looked at"\nperiodic_release = CurrentTime - EnteredCurrentStatus > 50\nqueue`;
  await requestWithRetry(cluster, 'n0', 'POST', '/condor/clusters', submission(text, 1));
  await requestWithRetry(
    cluster,
    'n0',
    'POST',
    '/condor/clusters',
    submission(`${never}max_materialize = 4\nqueue 50`, 2),
  );
  await requestWithRetry(
    cluster,
    'n0',
    'POST',
    '/condor/clusters',
    submission(`${never}max_idle = 2\nqueue 50`, 3),
  );
  const first = async () =>
    (await requestWithRetry(cluster, 'n0', 'GET', '/condor/clusters/2/procs?from=0')).body.procs[0];
  let held = false;
  for (let i = 0; i < 60 && !held; i++) {
    await cluster.clock.advance(2000);
    held = (await first()).state === 'held';
  }
  assert.ok(held);
  assert.equal((await first()).reason, 'looked at');
  assert.ok(await cluster.clock.until(() => !cluster.workers[0]!.isActive('wk-condor-2-0/0'), 10_000));
  assert.ok(await cluster.clock.until(() => cluster.workers[0]!.isActive('wk-condor-2-0-r1/0'), 120_000));
  assert.equal((cluster.state.value('condor/over/00000001') as { removed: number }).removed, 3);
  const jobs = (n: number) =>
    [...cluster.state.items.keys()].filter((k) => k.startsWith(`act/wk-condor-${n}-`)).length;
  assert.deepEqual([jobs(3), jobs(4)], [4, 2]);
});
