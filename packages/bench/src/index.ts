/**
 * Demo, load generators, fault injection and measurements that run against
 * real processes. Not shipped.
 *
 * @packageDocumentation
 */
export {Caller, type Outcome, type Row} from './caller.js';
export {
  describeRunningSystem,
  type RunningSystemDescription,
} from './running_system.js';
export {Demo, type DemoReport} from './demo.js';
export {FaultRelays} from './fault_relays.js';
export {findBasePort, findOccupiedAddresses} from './free_ports.js';
export {
  createLayout,
  PROFILES,
  type Layout,
  type MachineLayout,
  type Profile,
} from './layout.js';
export {WriteHistory} from './write_history.js';
export {ProcessGroup} from './process_group.js';
export {ReaderLoad, type ReaderLoadOptions} from './reader_load.js';
export {SystemUnderTest} from './system_under_test.js';
export {NO_VIOLATIONS, countViolations, type Violations} from './violations.js';
export {
  retryUntilDone,
  Workload,
  type WorkloadOptions,
  type WorkloadReport,
} from './workload.js';
