import * as v from 'valibot';

const machineRecord = v.object({
  shard: v.number(),
  /** `host:port`; empty while the machine has not sent a heartbeat yet. */
  addr: v.string(),
  /** The name of the machine type. */
  type: v.string(),
  zone: v.string(),
  spot: v.boolean(),
  state: v.picklist(['use', 'leaving']),
  /** Wall-clock time in milliseconds. */
  rentedAt: v.number(),
});
/**
 * The shard that a machine belongs to (`c/m/ID`). A machine that is `leaving` is being returned to the cloud and is
 * never used again. The owner that rents the machine or the leader that assigns it writes the record first, on the
 * condition that there is none. From then on the owner of its shard writes it, on the condition of its own term and
 * the record's version.
 */
export type MachineRecord = v.InferOutput<typeof machineRecord>;

/** Reads a machine's record; returns null if the value is not one. */
export function readMachineRecord(value: unknown): MachineRecord | null {
  const parsed = v.safeParse(machineRecord, value);
  return parsed.success ? parsed.output : null;
}
