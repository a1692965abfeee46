import { Ad, type Expr, UNDEFINED } from '../classad/ast.js';
import { asNumber, evaluate } from '../classad/evaluate.js';
import { flatten } from '../classad/flatten.js';
import { ClassAdError, parseExpr } from '../classad/parser.js';
import { printExpr } from '../classad/print.js';
import { type JobSpec, PRIORITIES_BY_URGENCY, PRIORITY } from '../wire/users.js';
import { COMMANDS, UNIVERSES } from './commands.js';
import { parseSubmit, type Queue, rowsOf, splitRow } from './language.js';
import { MacroExpander, type Setting, SubmitError } from './macros.js';

/** The stored source of a cluster, from which any node can expand it again. */
export interface Submission {
  text: string;
  /** Rows of the queue statements whose items are in files, by index of the statement. */
  rows: Record<string, string[]>;
  user: string;
  /** Time of submission, in seconds since the epoch. */
  at: number;
}

/** Options that processes are checked against. */
export interface ProcOptions {
  teams: readonly string[];
  /** Team of processes whose accounting group names no team; null rejects such processes. */
  team: string | null;
  /** Returns why a job can never run, whatever machines are available; null when it can. */
  neverRunsReason: (spec: JobSpec) => string | null;
}

/** An expanded process of a cluster. */
export interface Proc {
  ad: Ad;
  /** The job without its id, which depends on which start of the process it is. */
  spec: JobSpec;
  held: boolean;
}

const MAX_PROCS = 100_000;
const MAX_IMAGE_LENGTH = 200;
const BUILT_IN_MACROS = ['clusterid', 'cluster', 'procid', 'process', 'step', 'row', 'itemindex'];

/** The processes of a cluster, expanded one at a time from the submission. */
export class ClusterPlan {
  readonly total: number;
  readonly warnings: string[];
  private readonly queues: { queue: Queue; count: number; rows: string[]; firstProc: number }[] = [];
  private readonly expressions = new Map<string, Expr>();

  /** Throws `SubmitError` when a line cannot be parsed; single processes may still fail later (see `check`). */
  constructor(
    readonly submission: Submission,
    private readonly options: ProcOptions,
  ) {
    const queues = parseSubmit(submission.text);
    let total = 0;
    queues.forEach((queue, i) => {
      const rows = submission.rows[i];
      if (rows && queue.items.kind !== 'none' && queue.items.kind !== 'in') queue.items.rows ??= rows;
      const count = this.countProcesses(queue);
      const list = rowsOf(queue);
      this.queues.push({ queue, count, rows: list, firstProc: total });
      total += count * list.length;
      if (total > MAX_PROCS)
        throw new SubmitError(`more than ${MAX_PROCS} processes`, queue.line, queue.column);
    });
    if (total === 0)
      throw new SubmitError('no process: every queue statement is empty', queues.at(-1)!.line, 1);
    this.total = total;
    this.warnings = warningsOf(queues);
  }

  /** Expands the first and last process of every queue statement, to report errors common to all at once. */
  check(): void {
    for (const range of this.queues) {
      const n = range.count * range.rows.length;
      if (n === 0) continue;
      this.proc(0, range.firstProc);
      this.proc(0, range.firstProc + n - 1);
    }
  }

  private rangeOf(n: number): ClusterPlan['queues'][number] {
    let i = this.queues.length - 1;
    while (this.queues[i]!.firstProc > n) i--;
    return this.queues[i]!;
  }

  /** Returns whether a setting could put a process on hold from its submission on. */
  mayHold(n: number): boolean {
    const { settings } = this.rangeOf(n).queue;
    return settings.has('hold') || settings.has('+submitonhold');
  }

  /** Expands one process. Throws `SubmitError`. */
  proc(cluster: number, n: number): Proc {
    const range = this.rangeOf(n);
    const step = (n - range.firstProc) % range.count;
    const row = Math.floor((n - range.firstProc) / range.count);
    const processMacros = splitRow(range.rows[row]!, range.queue.variables);
    for (const name of BUILT_IN_MACROS) {
      const value = name.startsWith('cluster')
        ? cluster
        : name.startsWith('proc')
          ? n
          : name === 'step'
            ? step
            : row;
      processMacros.set(name, String(value));
    }
    const builder = new ProcBuilder(
      range.queue,
      new MacroExpander(range.queue.settings, processMacros),
      this.expressions,
    );
    return builder.build(cluster, n, this.submission, this.options);
  }

  private countProcesses({ count, line, column }: Queue): number {
    const value = evaluate(this.parse(count, line, column), { my: new Ad() });
    const n = Number(asNumber(value) ?? Number.NaN);
    if (!Number.isInteger(n) || n < 0)
      throw new SubmitError(`a number of processes was expected, not "${count}"`, line, column);
    return n;
  }

  private parse(text: string, line: number, column: number): Expr {
    return parseCached(text, line, column, this.expressions);
  }
}

function parseCached(text: string, line: number, column: number, cache: Map<string, Expr>): Expr {
  let expr = cache.get(text);
  if (!expr) {
    try {
      expr = parseExpr(text);
    } catch (error) {
      if (!(error instanceof ClassAdError)) throw error;
      const errorColumn = error.line > 1 ? error.column : column + error.column - 1;
      throw new SubmitError(error.message, line + error.line - 1, errorColumn);
    }
    if (cache.size < 2000) cache.set(text, expr);
  }
  return expr;
}

function warningsOf(queues: readonly Queue[]): string[] {
  const warnings = new Map<string, string>();
  const macros = queues.map((q) => referencedMacros(q));
  for (const [i, queue] of queues.entries()) {
    for (const [key, setting] of queue.settings) {
      if (key.startsWith('+') || macros[i]!.has(key)) continue;
      const command = COMMANDS[key];
      if (!command)
        warnings.set(key, `line ${setting.line}: ${setting.name} is not known here and has no effect`);
      else if (command.use === 'kept')
        warnings.set(
          key,
          `line ${setting.line}: ${setting.name} is kept as ${command.attribute}, with no effect: ${command.why}`,
        );
      else if (key === 'universe' && !(setting.value.toLowerCase() in UNIVERSES))
        warnings.set(
          key,
          `line ${setting.line}: universe ${setting.value} is kept; processes run as in vanilla`,
        );
    }
  }
  return [...warnings.values()];
}

/** Returns the names that other values use as macros; such a setting is a macro and not an unknown command. */
function referencedMacros(queue: Queue): Set<string> {
  const names = new Set<string>();
  const collect = (text: string) => {
    for (const [, name] of text.matchAll(/\$[A-Za-z_]*\(\s*([A-Za-z_]\w*)/g)) names.add(name!.toLowerCase());
  };
  for (const s of queue.settings.values()) collect(s.value);
  collect(queue.text);
  return names;
}

/** Builds the ad and the job of one process. */
class ProcBuilder {
  constructor(
    private readonly queue: Queue,
    private readonly macros: MacroExpander,
    private readonly expressions: Map<string, Expr>,
  ) {}

  build(cluster: number, n: number, submission: Submission, options: ProcOptions): Proc {
    const ad = new Ad()
      .setValue('MyType', 'Job')
      .setValue('ClusterId', BigInt(cluster))
      .setValue('ProcId', BigInt(n))
      .setValue('Owner', submission.user)
      .setValue('QDate', BigInt(Math.floor(submission.at)));
    for (const key of this.queue.settings.keys()) this.setAttribute(ad, key);
    this.applyDefaults(ad);
    const spec = this.buildSpec(ad, options);
    const reason = options.neverRunsReason(spec);
    if (reason !== null) throw new SubmitError(reason, this.queue.line, this.queue.column);
    const held = this.boolean(ad, 'SubmitOnHold');
    return { ad, spec, held };
  }

  private expandedSetting(key: string): { value: string; definition: Setting } | null {
    const definition = this.queue.settings.get(key);
    return definition ? { value: this.macros.get(key) ?? '', definition } : null;
  }

  private setAttribute(ad: Ad, key: string): void {
    const setting = this.expandedSetting(key)!;
    const { line, column, name } = setting.definition;
    if (key.startsWith('+')) {
      ad.set(name.slice(1), this.parseAttribute(setting.value, line, column));
      return;
    }
    const command = COMMANDS[key];
    if (!command) return;
    if (command.use === 'refused') throw new SubmitError(`${name} is not served: ${command.why}`, line, 1);
    if (setting.value === '') return;
    if (key === 'request_memory')
      ad.set(command.attribute, this.parseQuantity(setting.value, line, column, 1));
    else if (key === 'request_disk')
      ad.set(command.attribute, this.parseQuantity(setting.value, line, column, 0));
    else if (EXPRESSION_COMMANDS.has(key))
      ad.set(command.attribute, this.parseAttribute(setting.value, line, column));
    else ad.setValue(command.attribute, setting.value.replace(/^"(.*)"$/s, '$1'));
  }

  private parseAttribute(text: string, line: number, column: number): Expr {
    return parseCached(text, line, column, this.expressions);
  }

  /** Parses `2GB`, `512 M`, `1.5T` or an expression; the result is in KiB if `unit` is 0 and in MiB if it is 1. */
  private parseQuantity(text: string, line: number, column: number, unit: number): Expr {
    const match = /^(\d+(?:\.\d*)?|\.\d+)\s*([KMGT])(?:i?B)?$/i.exec(text.trim());
    if (!match) return this.parseAttribute(text, line, column);
    const power = 'KMGT'.indexOf(match[2]!.toUpperCase()) - unit;
    return { node: 'literal', value: BigInt(Math.ceil(Number(match[1]) * 1024 ** power)) };
  }

  private applyDefaults(ad: Ad): void {
    const universe = this.expandedSetting('universe')?.value.toLowerCase() ?? 'vanilla';
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

  private positionOf(attribute: string): { line: number; column: number } {
    for (const [key, s] of this.queue.settings)
      if (key === `+${attribute.toLowerCase()}` || COMMANDS[key]?.attribute === attribute) return s;
    return this.queue;
  }

  private number(ad: Ad, attribute: string, minimum: number): number {
    const value = asNumber(evaluate({ node: 'name', scope: 'my', name: attribute }, { my: ad }));
    const n = value === null ? Number.NaN : Number(value);
    if (!(n >= minimum && n <= 1e9)) {
      const { line, column } = this.positionOf(attribute);
      throw new SubmitError(`${attribute} has to be a number from ${minimum} on`, line, column);
    }
    return n;
  }

  private optionalNumber(ad: Ad, attribute: string, fallback: number): number {
    return ad.has(attribute) ? this.number(ad, attribute, 0) : fallback;
  }

  private boolean(ad: Ad, attribute: string): boolean {
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

  private buildSpec(ad: Ad, options: ProcOptions): JobSpec {
    this.checkExitPolicies(ad);
    const priority = this.parsePriority(ad);
    const machines = Math.max(1, Math.round(this.number(ad, 'MachineCount', 1)));
    const gang = evaluate({ node: 'name', scope: 'my', name: 'JobUniverse' }, { my: ad }) === 11n;
    const image =
      this.text(ad, 'ContainerImage') ?? this.text(ad, 'DockerImage') ?? this.text(ad, 'Cmd') ?? 'none';
    const checkpointS = this.optionalNumber(ad, 'CheckpointSeconds', 0);
    const requirements = flatten(ad.get('Requirements')!, ad);
    const rank = ad.has('Rank') ? flatten(ad.get('Rank')!, ad) : null;
    const acceptsAny = requirements.node === 'literal' && requirements.value === true;
    const hasRank = rank !== null && rank.node !== 'literal';
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
      spot: !ad.has('SpotAllowed') || this.boolean(ad, 'SpotAllowed'),
      image: image.slice(0, MAX_IMAGE_LENGTH),
      imageGb: this.optionalNumber(ad, 'ImageGb', 0),
      estimateS: this.optionalNumber(ad, 'ExpectedRunSeconds', 60),
      checkpointS,
      saveS: this.optionalNumber(ad, 'SaveSeconds', checkpointS > 0 ? 1 : 0),
      deadlineS: ad.has('DeadlineSeconds') ? this.number(ad, 'DeadlineSeconds', 1) : null,
      after: [],
      ...((!acceptsAny || hasRank) && {
        match: { requirements: printExpr(requirements), rank: hasRank ? printExpr(rank) : null },
      }),
    };
  }

  private parsePriority(ad: Ad): number {
    const priorityName = this.text(ad, 'SpartrayPriority');
    if (priorityName !== null) {
      const priority =
        PRIORITIES_BY_URGENCY[priorityName.toLowerCase() as keyof typeof PRIORITIES_BY_URGENCY];
      if (priority !== undefined) return priority;
      const { line, column } = this.positionOf('SpartrayPriority');
      throw new SubmitError(
        `SpartrayPriority has to be one of ${Object.keys(PRIORITIES_BY_URGENCY).join(', ')}`,
        line,
        column,
      );
    }
    return this.boolean(ad, 'NiceUser') ? PRIORITY.low : PRIORITY.normal;
  }

  /** Returns the team of an accounting group: the group itself or its longest prefix before a dot that is a team. */
  private team(ad: Ad, { teams, team }: ProcOptions): string {
    const group = this.text(ad, 'AcctGroup');
    for (let name = group ?? ''; name !== ''; name = name.slice(0, Math.max(0, name.lastIndexOf('.'))))
      if (teams.includes(name)) return name;
    if (team !== null) return team;
    const { line, column } = this.positionOf('AcctGroup');
    const problem =
      group === null ? 'accounting_group was expected' : `no team for accounting_group ${group}`;
    throw new SubmitError(`${problem}; the teams are ${teams.join(', ')}`, line, column);
  }

  /** Workers report only processes that are done, so exit policies are evaluated at submission, for exit code 0. */
  private checkExitPolicies(ad: Ad): void {
    const exited = ad
      .copy()
      .setValue('ExitCode', 0n)
      .setValue('ExitBySignal', false)
      .setValue('JobStatus', 4n);
    const valueAtExit = (name: string) => (ad.has(name) ? evaluate(ad.get(name)!, { my: exited }) : null);
    const fail = (name: string, why: string) => {
      const { line, column } = this.positionOf(name);
      throw new SubmitError(`${name} ${why}`, line, column);
    };
    if (valueAtExit('OnExitRemove') === false)
      fail('OnExitRemove', 'is false for exit code 0: the process would run for ever');
    if (valueAtExit('OnExitHold') === true)
      fail('OnExitHold', 'is true for exit code 0: a process that is done would be held');
  }
}

const EXPRESSION_COMMANDS = new Set([
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
