import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import * as v from 'valibot';
import { SettingsError } from '../config/settings.js';

const nonNegative = v.pipe(v.number(), v.minValue(0));
const positive = v.pipe(v.number(), v.gtValue(0));
const nonNegativeInteger = v.pipe(nonNegative, v.integer());
const nonEmptyString = v.pipe(v.string(), v.minLength(1));
const booleanFlag = v.optional(v.boolean(), false);

/** Team name that assigns each job of the class to a random team. */
export const ANY_TEAM = '*';

const scenarioSchema = v.object({
  seed: v.optional(nonNegativeInteger, 1),
  /** Time at which arrivals stop; the run then waits up to `drain_s` longer for accepted jobs. */
  duration_s: v.pipe(positive, v.maxValue(3600)),
  drain_s: v.optional(v.pipe(positive, v.maxValue(3600)), 600),
  classes: v.pipe(
    v.array(
      v.object({
        name: nonEmptyString,
        team: nonEmptyString,
        shape: v.optional(v.picklist(['sweep', 'ensemble', 'standing']), 'sweep'),
        urgency: v.optional(v.picklist(['production', 'urgent', 'standard', 'low']), 'standard'),
        a_minute: v.optional(v.pipe(nonNegative, v.maxValue(6000)), 0),
        /** Times at which arrivals of the class begin and stop; default to those of the scenario. */
        from_s: v.optional(nonNegative, 0),
        until_s: v.optional(positive),
        at_start: v.optional(v.pipe(nonNegativeInteger, v.maxValue(1000)), 0),
        /** In scaled runs, the total number of tasks of the jobs at the start, as a fraction of the workers. */
        fills: v.optional(v.pipe(nonNegative, v.maxValue(1)), 0),
        pieces: v.pipe(v.array(v.pipe(nonNegativeInteger, v.minValue(1))), v.minLength(1)),
        cpus: positive,
        gpus: v.optional(nonNegative, 0),
        memory_gb: positive,
        run_s: positive,
        image_gb: v.optional(nonNegative, 0),
        one_zone: booleanFlag,
        spread: booleanFlag,
        spot: booleanFlag,
        save_every_s: v.optional(nonNegative, 0),
        saving_s: v.optional(nonNegative, 0),
        /** Deadline as a multiple of the estimate; no deadline if omitted. */
        due: v.optional(positive),
        cancelled: v.optional(v.pipe(nonNegative, v.maxValue(1)), 0),
      }),
    ),
    v.minLength(1),
  ),
  /** Parts of the run that get separate measurements. */
  phases: v.optional(v.array(v.object({ name: nonEmptyString, from_s: nonNegative, until_s: positive })), []),
  faults: v.optional(
    v.array(
      v.object({
        at_s: nonNegative,
        what: v.picklist([
          'kill',
          'kill_all',
          'state_down',
          'state_refuses',
          'cloud_down',
          'cut',
          'die',
          'faulty',
          'reclaim',
          'cut_rack',
          'cut_zone',
          'cut_regions',
          'kill_oldest',
          'refuse_oldest',
        ]),
        /** Zone that is partitioned, or whose `rack` is. */
        zone: v.optional(v.string(), ''),
        rack: v.optional(nonNegativeInteger, 0),
        controller: v.optional(nonNegativeInteger, 0),
        count: v.optional(v.pipe(nonNegativeInteger, v.minValue(1)), 1),
        for_s: v.optional(positive, 10),
      }),
    ),
    [],
  ),
});

/** Scenario of load and faults, as read from its file. */
export type Scenario = v.InferOutput<typeof scenarioSchema>;
/** Class of jobs that arrive during a scenario. */
export type JobClass = Scenario['classes'][number];
/** Fault that is injected at a given time of a scenario. */
export type Fault = Scenario['faults'][number];

/** Reads a scenario of load and faults. Throws a `SettingsError` that names the invalid field. */
export function loadScenario(path: string): Scenario {
  let raw: unknown;
  try {
    raw = parse(readFileSync(path, 'utf8'));
  } catch (error) {
    throw new SettingsError(`${path}: ${error instanceof Error ? error.message.split('\n')[0] : error}`);
  }
  const parsed = v.safeParse(scenarioSchema, raw);
  if (!parsed.success)
    throw new SettingsError(
      `${path}: ${v.getDotPath(parsed.issues[0]) ?? 'file'}: ${parsed.issues[0].message}`,
    );
  return parsed.output;
}
