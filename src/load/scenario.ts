import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import * as v from 'valibot';
import { SettingsError } from '../config/settings.js';

const amount = v.pipe(v.number(), v.minValue(0));
const positive = v.pipe(v.number(), v.gtValue(0));
const whole = v.pipe(amount, v.integer());
const text = v.pipe(v.string(), v.minLength(1));
const flag = v.optional(v.boolean(), false);

/** In place of a team's name: each job of the class is of any team. */
export const ANY_TEAM = '*';

const file = v.object({
  seed: v.optional(whole, 1),
  /** Arrivals stop then; what was accepted is waited for up to `drain_s` more. */
  duration_s: v.pipe(positive, v.maxValue(3600)),
  drain_s: v.optional(v.pipe(positive, v.maxValue(3600)), 600),
  classes: v.pipe(
    v.array(
      v.object({
        name: text,
        team: text,
        shape: v.optional(v.picklist(['sweep', 'ensemble', 'standing']), 'sweep'),
        urgency: v.optional(v.picklist(['production', 'urgent', 'standard', 'low']), 'standard'),
        a_minute: v.optional(v.pipe(amount, v.maxValue(6000)), 0),
        /** When its arrivals begin and stop; left out, those of the scenario. */
        from_s: v.optional(amount, 0),
        until_s: v.optional(positive),
        at_start: v.optional(v.pipe(whole, v.maxValue(1000)), 0),
        /** In scaled runs: the jobs at the start have so many tasks together, as a share of the workers. */
        fills: v.optional(v.pipe(amount, v.maxValue(1)), 0),
        pieces: v.pipe(v.array(v.pipe(whole, v.minValue(1))), v.minLength(1)),
        cpus: positive,
        gpus: v.optional(amount, 0),
        memory_gb: positive,
        run_s: positive,
        image_gb: v.optional(amount, 0),
        one_zone: flag,
        spread: flag,
        spot: flag,
        save_every_s: v.optional(amount, 0),
        saving_s: v.optional(amount, 0),
        /** Deadline as a multiple of the estimate; none if left out. */
        due: v.optional(positive),
        cancelled: v.optional(v.pipe(amount, v.maxValue(1)), 0),
      }),
    ),
    v.minLength(1),
  ),
  /** Parts of the run that are measured on their own. */
  phases: v.optional(v.array(v.object({ name: text, from_s: amount, until_s: positive })), []),
  faults: v.optional(
    v.array(
      v.object({
        at_s: amount,
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
        /** Of a rack or zone that is cut off. */
        zone: v.optional(v.string(), ''),
        rack: v.optional(whole, 0),
        controller: v.optional(whole, 0),
        count: v.optional(v.pipe(whole, v.minValue(1)), 1),
        for_s: v.optional(positive, 10),
      }),
    ),
    [],
  ),
});

/** A scenario of load and faults, as its file has it. */
export type Scenario = v.InferOutput<typeof file>;
/** A class of jobs that arrive during a scenario. */
export type JobClass = Scenario['classes'][number];
/** A fault that is injected at a moment of a scenario. */
export type Fault = Scenario['faults'][number];

/** Reads a scenario of load and faults. Fails with `SettingsError`, which names the field. */
export function loadScenario(path: string): Scenario {
  let raw: unknown;
  try {
    raw = parse(readFileSync(path, 'utf8'));
  } catch (error) {
    throw new SettingsError(`${path}: ${error instanceof Error ? error.message.split('\n')[0] : error}`);
  }
  const p = v.safeParse(file, raw);
  if (!p.success)
    throw new SettingsError(`${path}: ${v.getDotPath(p.issues[0]) ?? 'file'}: ${p.issues[0].message}`);
  return p.output;
}
