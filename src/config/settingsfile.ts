/** The schema of the settings file (TOML), with the bounds and defaults of the fields. */

import * as v from 'valibot';

const text = v.pipe(v.string(), v.minLength(1));
const address = v.pipe(v.string(), v.regex(/^[^\s:]+:\d{1,5}$/, 'must be host:port'));
const positive = v.pipe(v.number(), v.finite(), v.gtValue(0, 'must be above 0'));
const amount = v.pipe(v.number(), v.finite(), v.minValue(0, 'must not be negative'));

/** The complete settings file; unknown fields are ignored. */
export const settingsFile = v.object({
  node: text,
  zone: text,
  bind: address,
  peer_bind: address,
  seeds: v.optional(v.array(v.object({ node: text, zone: text, endpoint: address })), []),
  external: v.object({ cloud: address, state: address }),
  params: v.object({
    initial_size: v.pipe(v.number(), v.integer(), v.minValue(1)),
    zones: v.optional(v.array(text), []),
    regions: v.optional(v.record(text, v.array(text)), {}),
    skew_ms: v.optional(amount, 1000),
    teams: v.optional(
      v.array(
        v.object({
          name: text,
          cpus: v.optional(amount, 0),
          cpus_max: v.optional(amount, 0),
          gpus: v.optional(amount, 0),
          gpus_max: v.optional(amount, 0),
        }),
      ),
      [],
    ),
    objectives: v.optional(
      v.array(
        v.object({
          kind: text,
          class: v.nullish(text),
          within_s: v.nullish(amount),
          share: v.nullish(amount),
        }),
      ),
      [],
    ),
    workers: v.object({
      report_s: positive,
      lease_s: positive,
      gang_wait_s: positive,
      gang_peer_s: positive,
      cancel_s: positive,
    }),
    state: v.object({
      rps: positive,
      write_rps: positive,
      value_kb: positive,
      txn_ops: v.pipe(v.number(), v.integer(), v.minValue(1)),
      next: v.optional(
        v.object({
          rps: v.optional(positive),
          write_rps: v.optional(positive),
          value_kb: v.optional(positive),
          txn_ops: v.optional(v.pipe(v.number(), v.integer(), v.minValue(1))),
        }),
        {},
      ),
    }),
    cloud: v.object({ rps: positive, list_lag_s: amount }),
    limits: v.object({ cores: positive, memory_mb: positive, max_sockets: positive }),
  }),
});

/** The contents of a valid settings file. */
export type SettingsFile = v.InferOutput<typeof settingsFile>;
