// This package: the layout of the key-value store: its keys, and the records that no other package defines.

export { KEYS } from './keys.js';
export { type LeaseHolder, readLeaseHolder, writeLeaseHolder } from './leaseholder.js';
export { type MachineRecord, readMachineRecord } from './machinerecord.js';
export { type OwnerTransactionResult, OwnerTransactions } from './ownertransactions.js';
export { MATCH_PROTOCOL_VERSION, PROTOCOL_VERSION } from './protocolversion.js';
export { readStandbyRecord, writeStandbyRecord } from './standbyrecord.js';
export { readTeamAssignment } from './teamassignment.js';
