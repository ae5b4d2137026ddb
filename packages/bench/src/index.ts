/**
 * Demonstration, load, faults and measurement, on real processes. Unshipped.
 *
 * @packageDocumentation
 */
export {Caller, type Outcome, type Row} from './caller.js';
export {describeHeldSystem, type HeldSystem} from './held_system.js';
export {Demo, type DemoReport} from './demo.js';
export {FaultFabric} from './fault_fabric.js';
export {findBasePort, takenAddresses} from './free_ports.js';
export {
  layOut,
  PROFILES,
  type Layout,
  type MachineLayout,
  type Profile,
} from './layout.js';
export {Ledger} from './ledger.js';
export {ProcessGroup} from './process_group.js';
export {ReaderLoad, type ReaderLoadOptions} from './reader_load.js';
export {SystemUnderTest} from './system_under_test.js';
export {NO_VIOLATIONS, totalOf, type Violations} from './violations.js';
export {
  untilDone,
  Workload,
  type WorkloadOptions,
  type WorkloadReport,
} from './workload.js';
