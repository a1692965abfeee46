import * as v from 'valibot';

const machineRecord = v.object({
  shard: v.number(),
  /** `host:port`; empty while the machine has not reported yet. */
  addr: v.string(),
  /** Its machine type, by name. */
  type: v.string(),
  zone: v.string(),
  spot: v.boolean(),
  state: v.picklist(['use', 'leaving']),
  /** Time of day in milliseconds. */
  rentedAt: v.number(),
});
/**
 * Which shard a machine belongs to (`c/m/ID`). A machine that is `leaving` is given back and never used again. Written first
 * by the owner that rents it or the leader that assigns it, under the condition that there is none; from then on by the owner
 * of its shard, under the condition of its own term and the record's version.
 */
export type MachineRecord = v.InferOutput<typeof machineRecord>;

/** Reads a machine's record; null when it is none. */
export function readMachineRecord(value: unknown): MachineRecord | null {
  const p = v.safeParse(machineRecord, value);
  return p.success ? p.output : null;
}
