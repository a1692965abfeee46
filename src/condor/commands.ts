/** Treatment of a submit command. */
export interface Command {
  /**
   * `used`: has its usual effect. `kept`: stored as an attribute of the process, without effect. `refused`: an
   * error.
   */
  use: 'used' | 'kept' | 'refused';
  /** Attribute of the process's ad that the command sets. */
  attribute: string;
  /** Why the command is kept or refused, in words for users. */
  why?: string;
}

const used = (attribute: string): Command => ({ use: 'used', attribute });
const kept = (attribute: string, why: string): Command => ({ use: 'kept', attribute, why });
const refused = (why: string): Command => ({ use: 'refused', attribute: '', why });

const FETCHED_BY_WORKERS = 'workers fetch what they run themselves';
const ALWAYS_RETRIED = 'a task that fails is started again until it is done or removed';

/** Known commands by lower-case name; docs/condor.md has the same table. */
export const COMMANDS: Readonly<Record<string, Command>> = {
  executable: used('Cmd'),
  arguments: used('Args'),
  environment: used('Env'),
  request_cpus: used('RequestCpus'),
  request_memory: used('RequestMemory'),
  request_disk: used('RequestDisk'),
  request_gpus: used('RequestGPUs'),
  requirements: used('Requirements'),
  rank: used('Rank'),
  priority: used('JobPrio'),
  jobprio: used('JobPrio'),
  accounting_group: used('AcctGroup'),
  accounting_group_user: used('AcctGroupUser'),
  nice_user: used('NiceUser'),
  batch_name: used('JobBatchName'),
  machine_count: used('MachineCount'),
  container_image: used('ContainerImage'),
  docker_image: used('DockerImage'),
  hold: used('SubmitOnHold'),
  max_materialize: used('JobMaterializeLimit'),
  max_idle: used('JobMaterializeMaxIdle'),
  periodic_hold: used('PeriodicHold'),
  periodic_hold_reason: used('PeriodicHoldReason'),
  periodic_release: used('PeriodicRelease'),
  periodic_remove: used('PeriodicRemove'),
  on_exit_remove: used('OnExitRemove'),
  on_exit_hold: used('OnExitHold'),
  universe: used('Universe'),
  max_retries: kept('JobMaxRetries', ALWAYS_RETRIED),
  retry_until: kept('RetryUntil', ALWAYS_RETRIED),
  success_exit_code: kept('JobSuccessExitCode', ALWAYS_RETRIED),
  input: kept('In', FETCHED_BY_WORKERS),
  output: kept('Out', FETCHED_BY_WORKERS),
  error: kept('Err', FETCHED_BY_WORKERS),
  log: kept('UserLog', 'condor q and the cluster’s own records say what became of a process'),
  initialdir: kept('Iwd', FETCHED_BY_WORKERS),
  should_transfer_files: kept('ShouldTransferFiles', FETCHED_BY_WORKERS),
  when_to_transfer_output: kept('WhenToTransferOutput', FETCHED_BY_WORKERS),
  transfer_input_files: kept('TransferInput', FETCHED_BY_WORKERS),
  transfer_output_files: kept('TransferOutput', FETCHED_BY_WORKERS),
  transfer_executable: kept('TransferExecutable', FETCHED_BY_WORKERS),
  getenv: kept('GetEnv', 'a worker knows nothing of your environment'),
  notification: kept('JobNotification', 'nobody is written to'),
  notify_user: kept('NotifyUser', 'nobody is written to'),
  concurrency_limits: kept('ConcurrencyLimits', 'limits are those of the team (accounting_group)'),
  stream_output: kept('StreamOut', FETCHED_BY_WORKERS),
  stream_error: kept('StreamErr', FETCHED_BY_WORKERS),
  want_graceful_removal: kept('WantGracefulRemoval', 'a removed process is gone within the cluster’s bound'),
  job_lease_duration: kept('JobLeaseDuration', 'leases are the platform’s'),
  leave_in_queue: kept('LeaveJobInQueue', 'how a process ended is kept in any case'),
  allowed_job_duration: kept('AllowedJobDuration', 'say DeadlineSeconds, or periodic_remove'),
  allowed_execute_duration: kept('AllowedExecuteDuration', 'say DeadlineSeconds, or periodic_remove'),
  dagman_log: refused('a DAG is submitted as jobs that wait for others (README, "Pipelines")'),
  grid_resource: refused('there is no other scheduler to hand the process to'),
  cron_minute: refused('processes by calendar are not served'),
  cron_hour: refused('processes by calendar are not served'),
  deferral_time: refused('processes by calendar are not served'),
};

/** Supported universes, each with the number of the universe that its processes run in. */
export const UNIVERSES: Readonly<Record<string, number>> = {
  vanilla: 5,
  docker: 5,
  container: 5,
  parallel: 11,
};
