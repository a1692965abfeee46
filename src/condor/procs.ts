import { Ad, type Expr, UNDEFINED } from '../classad/ast.js';
import { asNumber, evaluate } from '../classad/evaluate.js';
import { flatten } from '../classad/flatten.js';
import { ClassAdError, parseExpr } from '../classad/parser.js';
import { printExpr } from '../classad/print.js';
import { type JobSpec, PRIORITIES, PRIORITY } from '../wire/users.js';
import { COMMANDS, UNIVERSES } from './commands.js';
import { parseSubmit, type Queue, rowsOf, split } from './language.js';
import { Macros, type Setting, SubmitError } from './macros.js';

/** What a cluster is made of, whoever reads it again. */
export interface Submission {
  text: string;
  /** Rows of queue statements whose items are in files, by the number of the statement. */
  rows: Record<string, string[]>;
  user: string;
  /** Seconds since the epoch. */
  at: number;
}

/** What processes are checked against. */
export interface ProcOptions {
  teams: readonly string[];
  /** The team of processes whose accounting group names none; null refuses them. */
  team: string | null;
  /** Why a job can never run, whatever machines there are; null when it can. */
  never: (spec: JobSpec) => string | null;
}

/** One process of a cluster, expanded. */
export interface Proc {
  ad: Ad;
  /** Without its id, which says which start of the process it is. */
  spec: JobSpec;
  held: boolean;
}

const MOST_PROCS = 100_000;
const KEPT_DESCRIPTION = 200;
const BUILT_IN = ['clusterid', 'cluster', 'procid', 'process', 'step', 'row', 'itemindex'];

/** The processes of a cluster, made one at a time from what was submitted. */
export class ClusterPlan {
  readonly total: number;
  readonly warnings: string[];
  private readonly queues: { queue: Queue; count: number; rows: string[]; first: number }[] = [];
  private readonly expressions = new Map<string, Expr>();

  /** Fails with `SubmitError` when any line cannot be read; processes may yet fail one by one (`check`). */
  constructor(
    readonly submission: Submission,
    private readonly options: ProcOptions,
  ) {
    const queues = parseSubmit(submission.text);
    let total = 0;
    queues.forEach((queue, i) => {
      const rows = submission.rows[i];
      if (rows && queue.items.kind !== 'none' && queue.items.kind !== 'in') queue.items.rows ??= rows;
      const count = this.count(queue);
      const list = rowsOf(queue);
      this.queues.push({ queue, count, rows: list, first: total });
      total += count * list.length;
      if (total > MOST_PROCS)
        throw new SubmitError(`more than ${MOST_PROCS} processes`, queue.line, queue.column);
    });
    if (total === 0)
      throw new SubmitError('no process: every queue statement is empty', queues.at(-1)!.line, 1);
    this.total = total;
    this.warnings = warningsOf(queues);
  }

  /** Makes the first and the last process of every queue statement, so that what is wrong with all is said at once. */
  check(): void {
    for (const q of this.queues) {
      const n = q.count * q.rows.length;
      if (n === 0) continue;
      this.proc(0, q.first);
      this.proc(0, q.first + n - 1);
    }
  }

  private queueOf(n: number): ClusterPlan['queues'][number] {
    let i = this.queues.length - 1;
    while (this.queues[i]!.first > n) i--;
    return this.queues[i]!;
  }

  /** Whether anything is set that could hold a process from its submission on. */
  mayHold(n: number): boolean {
    const { settings } = this.queueOf(n).queue;
    return settings.has('hold') || settings.has('+submitonhold');
  }

  /** One process. Fails with `SubmitError`. */
  proc(cluster: number, n: number): Proc {
    const q = this.queueOf(n);
    const step = (n - q.first) % q.count;
    const row = Math.floor((n - q.first) / q.count);
    const own = split(q.rows[row]!, q.queue.variables);
    for (const name of BUILT_IN) {
      const value = name.startsWith('cluster')
        ? cluster
        : name.startsWith('proc')
          ? n
          : name === 'step'
            ? step
            : row;
      own.set(name, String(value));
    }
    const maker = new Maker(q.queue, new Macros(q.queue.settings, own), this.expressions);
    return maker.make(cluster, n, this.submission, this.options);
  }

  private count({ count, line, column }: Queue): number {
    const value = evaluate(this.parse(count, line, column), { my: new Ad() });
    const n = Number(asNumber(value) ?? Number.NaN);
    if (!Number.isInteger(n) || n < 0)
      throw new SubmitError(`a number of processes was expected, not "${count}"`, line, column);
    return n;
  }

  private parse(text: string, line: number, column: number): Expr {
    return readExpr(text, line, column, this.expressions);
  }
}

function readExpr(text: string, line: number, column: number, known: Map<string, Expr>): Expr {
  let e = known.get(text);
  if (!e) {
    try {
      e = parseExpr(text);
    } catch (error) {
      if (!(error instanceof ClassAdError)) throw error;
      const within = error.line > 1 ? error.column : column + error.column - 1;
      throw new SubmitError(error.message, line + error.line - 1, within);
    }
    if (known.size < 2000) known.set(text, e);
  }
  return e;
}

function warningsOf(queues: readonly Queue[]): string[] {
  const warnings = new Map<string, string>();
  const macros = queues.map((q) => usedMacros(q));
  for (const [i, q] of queues.entries()) {
    for (const [key, s] of q.settings) {
      if (key.startsWith('+') || macros[i]!.has(key)) continue;
      const c = COMMANDS[key];
      if (!c) warnings.set(key, `line ${s.line}: ${s.name} is not known here and has no effect`);
      else if (c.use === 'kept')
        warnings.set(key, `line ${s.line}: ${s.name} is kept as ${c.attribute}, with no effect: ${c.why}`);
      else if (key === 'universe' && !(s.value.toLowerCase() in UNIVERSES))
        warnings.set(key, `line ${s.line}: universe ${s.value} is kept; processes run as in vanilla`);
    }
  }
  return [...warnings.values()];
}

/** Names that other values use as macros, which are no commands. */
function usedMacros(q: Queue): Set<string> {
  const names = new Set<string>();
  const look = (text: string) => {
    for (const [, name] of text.matchAll(/\$[A-Za-z_]*\(\s*([A-Za-z_]\w*)/g)) names.add(name!.toLowerCase());
  };
  for (const s of q.settings.values()) look(s.value);
  look(q.text);
  return names;
}

/** Makes the ad and the job of one process. */
class Maker {
  constructor(
    private readonly queue: Queue,
    private readonly macros: Macros,
    private readonly expressions: Map<string, Expr>,
  ) {}

  make(cluster: number, n: number, submission: Submission, options: ProcOptions): Proc {
    const ad = new Ad()
      .setValue('MyType', 'Job')
      .setValue('ClusterId', BigInt(cluster))
      .setValue('ProcId', BigInt(n))
      .setValue('Owner', submission.user)
      .setValue('QDate', BigInt(Math.floor(submission.at)));
    for (const key of this.queue.settings.keys()) this.attribute(ad, key);
    this.defaults(ad);
    const spec = this.spec(ad, options);
    const never = options.never(spec);
    if (never !== null) throw new SubmitError(never, this.queue.line, this.queue.column);
    const held = this.truth(ad, 'SubmitOnHold');
    return { ad, spec, held };
  }

  private setting(key: string): { value: string; at: Setting } | null {
    const at = this.queue.settings.get(key);
    return at ? { value: this.macros.get(key) ?? '', at } : null;
  }

  private attribute(ad: Ad, key: string): void {
    const s = this.setting(key)!;
    const { line, column, name } = s.at;
    if (key.startsWith('+')) {
      ad.set(name.slice(1), this.expr(s.value, line, column));
      return;
    }
    const c = COMMANDS[key];
    if (!c) return;
    if (c.use === 'refused') throw new SubmitError(`${name} is not served: ${c.why}`, line, 1);
    if (s.value === '') return;
    if (key === 'request_memory') ad.set(c.attribute, this.quantity(s.value, line, column, 1));
    else if (key === 'request_disk') ad.set(c.attribute, this.quantity(s.value, line, column, 0));
    else if (EXPRESSIONS.has(key)) ad.set(c.attribute, this.expr(s.value, line, column));
    else ad.setValue(c.attribute, s.value.replace(/^"(.*)"$/s, '$1'));
  }

  private expr(text: string, line: number, column: number): Expr {
    return readExpr(text, line, column, this.expressions);
  }

  /** `2GB`, `512 M`, `1.5T` or an expression; in units of 1,024 to the `unit`th bytes times 1,024. */
  private quantity(text: string, line: number, column: number, unit: number): Expr {
    const m = /^(\d+(?:\.\d*)?|\.\d+)\s*([KMGT])(?:i?B)?$/i.exec(text.trim());
    if (!m) return this.expr(text, line, column);
    const power = 'KMGT'.indexOf(m[2]!.toUpperCase()) - unit;
    return { node: 'literal', value: BigInt(Math.ceil(Number(m[1]) * 1024 ** power)) };
  }

  private defaults(ad: Ad): void {
    const universe = this.setting('universe')?.value.toLowerCase() ?? 'vanilla';
    ad.setValue('JobUniverse', BigInt(UNIVERSES[universe] ?? 5));
    const missing: [string, bigint][] = [
      ['RequestCpus', 1n],
      ['RequestMemory', 128n],
      ['RequestDisk', 1024n],
      ['RequestGPUs', 0n],
      ['JobPrio', 0n],
      ['MachineCount', 1n],
    ];
    for (const [name, value] of missing) if (!ad.has(name)) ad.setValue(name, value);
    if (!ad.has('Requirements')) ad.setValue('Requirements', true);
    if (!ad.has('Cmd') && !ad.has('ContainerImage') && !ad.has('DockerImage'))
      throw new SubmitError('"executable" was expected before "queue"', this.queue.line, this.queue.column);
  }

  private place(attribute: string): { line: number; column: number } {
    for (const [key, s] of this.queue.settings)
      if (key === `+${attribute.toLowerCase()}` || COMMANDS[key]?.attribute === attribute) return s;
    return this.queue;
  }

  private number(ad: Ad, attribute: string, least: number): number {
    const value = asNumber(evaluate({ node: 'name', scope: 'my', name: attribute }, { my: ad }));
    const n = value === null ? Number.NaN : Number(value);
    if (!(n >= least && n <= 1e9)) {
      const { line, column } = this.place(attribute);
      throw new SubmitError(`${attribute} has to be a number from ${least} on`, line, column);
    }
    return n;
  }

  private optional(ad: Ad, attribute: string, otherwise: number): number {
    return ad.has(attribute) ? this.number(ad, attribute, 0) : otherwise;
  }

  private truth(ad: Ad, attribute: string): boolean {
    const e = ad.get(attribute);
    if (e?.node === 'literal' && typeof e.value === 'string') return /^(true|yes|1)$/i.test(e.value);
    return e !== undefined && evaluate(e, { my: ad }) === true;
  }

  private text(ad: Ad, attribute: string): string | null {
    const value = ad.has(attribute)
      ? evaluate({ node: 'name', scope: 'my', name: attribute }, { my: ad })
      : UNDEFINED;
    return typeof value === 'string' && value !== '' ? value : null;
  }

  private spec(ad: Ad, options: ProcOptions): JobSpec {
    this.checkExits(ad);
    const priority = this.priority(ad);
    const machines = Math.max(1, Math.round(this.number(ad, 'MachineCount', 1)));
    const gang = evaluate({ node: 'name', scope: 'my', name: 'JobUniverse' }, { my: ad }) === 11n;
    const image =
      this.text(ad, 'ContainerImage') ?? this.text(ad, 'DockerImage') ?? this.text(ad, 'Cmd') ?? 'none';
    const checkpointS = this.optional(ad, 'CheckpointSeconds', 0);
    const requirements = flatten(ad.get('Requirements')!, ad);
    const rank = ad.has('Rank') ? flatten(ad.get('Rank')!, ad) : null;
    const any = requirements.node === 'literal' && requirements.value === true;
    const likes = rank !== null && rank.node !== 'literal';
    return {
      id: '',
      class: this.text(ad, 'JobClass') ?? 'condor',
      team: this.team(ad, options),
      kind: gang ? 'gang' : 'array',
      priority,
      tasks: gang ? machines : 1,
      cpus: this.number(ad, 'RequestCpus', 0),
      gpus: this.number(ad, 'RequestGPUs', 0),
      memoryGb: this.number(ad, 'RequestMemory', 0) / 1024,
      types: null,
      zone: null,
      oneZone: gang,
      spread: false,
      spot: !ad.has('SpotAllowed') || this.truth(ad, 'SpotAllowed'),
      image: image.slice(0, KEPT_DESCRIPTION),
      imageGb: this.optional(ad, 'ImageGb', 0),
      estimateS: this.optional(ad, 'ExpectedRunSeconds', 60),
      checkpointS,
      saveS: this.optional(ad, 'SaveSeconds', checkpointS > 0 ? 1 : 0),
      deadlineS: ad.has('DeadlineSeconds') ? this.number(ad, 'DeadlineSeconds', 1) : null,
      after: [],
      ...((!any || likes) && {
        match: { requirements: printExpr(requirements), rank: likes ? printExpr(rank) : null },
      }),
    };
  }

  private priority(ad: Ad): number {
    const said = this.text(ad, 'SpartrayPriority');
    if (said !== null) {
      const p = PRIORITIES[said.toLowerCase() as keyof typeof PRIORITIES];
      if (p !== undefined) return p;
      const { line, column } = this.place('SpartrayPriority');
      throw new SubmitError(
        `SpartrayPriority has to be one of ${Object.keys(PRIORITIES).join(', ')}`,
        line,
        column,
      );
    }
    return this.truth(ad, 'NiceUser') ? PRIORITY.low : PRIORITY.normal;
  }

  /** The team that an accounting group names: itself, or the longest part before a dot that is one. */
  private team(ad: Ad, { teams, team }: ProcOptions): string {
    const group = this.text(ad, 'AcctGroup');
    for (let name = group ?? ''; name !== ''; name = name.slice(0, Math.max(0, name.lastIndexOf('.'))))
      if (teams.includes(name)) return name;
    if (team !== null) return team;
    const { line, column } = this.place('AcctGroup');
    const wrong = group === null ? 'accounting_group was expected' : `no team for accounting_group ${group}`;
    throw new SubmitError(`${wrong}; the teams are ${teams.join(', ')}`, line, column);
  }

  /** Workers tell only of processes that are done, so these are decided beforehand, as for exit code 0. */
  private checkExits(ad: Ad): void {
    const after = ad
      .copy()
      .setValue('ExitCode', 0n)
      .setValue('ExitBySignal', false)
      .setValue('JobStatus', 4n);
    const says = (name: string) => (ad.has(name) ? evaluate(ad.get(name)!, { my: after }) : null);
    const fail = (name: string, why: string) => {
      const { line, column } = this.place(name);
      throw new SubmitError(`${name} ${why}`, line, column);
    };
    if (says('OnExitRemove') === false)
      fail('OnExitRemove', 'is false for exit code 0: the process would run for ever');
    if (says('OnExitHold') === true)
      fail('OnExitHold', 'is true for exit code 0: a process that is done would be held');
  }
}

const EXPRESSIONS = new Set([
  'request_cpus',
  'request_gpus',
  'requirements',
  'rank',
  'priority',
  'jobprio',
  'machine_count',
  'max_materialize',
  'max_idle',
  'nice_user',
  'periodic_hold',
  'periodic_release',
  'periodic_remove',
  'on_exit_remove',
  'on_exit_hold',
]);
